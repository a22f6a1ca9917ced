#pragma once

#include "formation/formation_system.h"
#include "vm_reports.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <random>

namespace bramleypitch {

/// A fleet, its two models, and the slots that their requests need without failures.
struct ReplayShape
{
    std::size_t domains = 9;
    std::size_t vmsPerDomain = 19;
    std::uint32_t smallSpan = 4;
    std::uint32_t slots = 34;
    double largeSlots = 181;
    double smallSlots = 485;
};

/// What requests obtained in a replay, and what it cost.
struct ReplayResult
{
    double largeShare = 0; ///< Of the demand that had capacity.
    double smallShare = 0;
    double allShare = 0;
    double worstShare = 1; ///< Of all demand, in the worst second.
    std::size_t conversions = 0; ///< Plans that dissolved groups for another model.
    std::size_t toLarge = 0; ///< Those of them for the model with the larger groups.
    std::size_t loads = 0; ///< Orders to load or prefetch weights since the traffic started.
};

/// Replays a load against group formation, without a network: one owner, VMs that load and drain as
/// published, and queues that add to the demand that is reported.
class CapacityReplay
{
public:
    using Factor = std::function<double(double seconds)>;

    explicit CapacityReplay(const ReplayShape &shape, std::uint32_t seed = 1)
        : m_shape(shape)
        , m_random(seed)
    {
        m_configuration = configurationOf(shape);
        for (const BackendReport &report : vmReports(shape.domains, shape.vmsPerDomain))
            m_vms[report.id].report = report;
        FormationOptions options;
        options.followsDemand = true;
        options.node = NodeId("n1");
        m_system = std::make_unique<FormationSystem>(options, m_backends, m_now);
        m_system->setConfiguration(m_configuration);
        m_system->setNodes({NodeId("n1")});
        m_system->setFirstStart(true);
        updateBackends();
        for (const TimePoint end = m_now + Duration(12'000); m_now < end; m_now += step)
            advance();
    }

    /// Runs traffic for a time. The factors are those of the demand at each second.
    ReplayResult run(double seconds)
    {
        ReplayResult result;
        std::array<double, 2> wanted {};
        std::array<double, 2> served {};
        double secondWanted = 0;
        double secondServed = 0;
        m_hasTraffic = true;
        m_result = &result;
        const auto steps = static_cast<int>(seconds * 1'000 / step.count());
        for (int i = 0; i < steps; ++i, m_now += step) {
            const double at = i * step.count() / 1'000.0;
            const std::array<double, 2> slots {m_shape.largeSlots * largeFactor(at),
                                               m_shape.smallSlots * smallFactor(at)};
            std::map<ModelId, double> reported;
            for (std::size_t model = 0; model < 2; ++model) {
                const double capacity =
                    static_cast<double>(openGroups(names[model])) * m_shape.slots;
                wanted[model] += slots[model];
                served[model] += std::min(slots[model], capacity);
                secondWanted += slots[model];
                secondServed += std::min(slots[model], capacity);
                double &queue = m_queues[model];
                queue += (slots[model] - capacity) * step.count() / streamMs;
                queue = std::clamp(queue, 0.0, maxQueue * std::max(capacity, slots[model]));
                const double noise =
                    1 + noiseLevel * (static_cast<double>(m_random() % 2'001) / 1'000 - 1);
                reported[names[model]] = slots[model] * noise + queue;
            }
            if (i % (1'000 / step.count()) == 1'000 / step.count() - 1) {
                result.worstShare = std::min(result.worstShare, secondServed / secondWanted);
                secondWanted = secondServed = 0;
            }
            m_system->setDemand(reported, m_now);
            if (lossInterval > Duration(0) && milliseconds(m_now) % lossInterval.count() == 0)
                loseVms();
            advance();
        }
        result.largeShare = served[0] / wanted[0];
        result.allShare = (served[0] + served[1]) / (wanted[0] + wanted[1]);
        result.smallShare = served[1] / wanted[1];
        m_result = nullptr;
        return result;
    }

    std::size_t openGroups(const ModelId &model) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_vms.begin(), m_vms.end(), [&](const auto &entry) {
                const BackendReport &report = entry.second.report;
                return report.group.state == MemberState::Open && report.group.rank == 0
                    && report.model == model;
            }));
    }

    FormationSystem &system() { return *m_system; }

    static constexpr std::size_t lostTogether = 2;
    Factor largeFactor = [](double) { return 1.0; };
    Factor smallFactor = [](double) { return 1.0; };
    Duration lossInterval {0}; ///< Between losses of members; 0 for none.
    double noiseLevel = 0.1; ///< Of the reported demand.

    const std::array<ModelId, 2> names {ModelId("large"), ModelId("small")};

private:
    struct Vm
    {
        BackendReport report;
        TimePoint readyAt; ///< When it has joined its group.
        TimePoint drainedAt;
        TimePoint stagedAt;
        ModelId staging;
        TimePoint backAt; ///< When it has started again after a crash.
        bool isLost = false;
    };

    static ServingConfigurationPtr configurationOf(const ReplayShape &shape)
    {
        auto result = std::make_shared<ServingConfiguration>();
        result->version = 1;
        ServedService service;
        service.name = ServiceId("engines");
        EngineSpec &engine = service.engine.emplace();
        engine.slots = shape.slots;
        engine.maxLoadsPerSecond = 14;
        engine.maxConcurrentLoads = 21;
        for (int i = 0; i < 2; ++i) {
            ServedModel model;
            model.name = ModelId(i == 0 ? "large" : "small");
            model.span = i == 0 ? 8 : shape.smallSpan;
            model.share = 0.5;
            model.loadTime = Duration(i == 0 ? 16'000 : 12'000);
            model.warmLoadTime = Duration(i == 0 ? 1'600 : 1'100);
            engine.models.push_back(model);
        }
        result->services[service.name] = service;
        return result;
    }

    const ServedModel &modelOf(const ModelId &name) const
    {
        const std::vector<ServedModel> &models =
            m_configuration->services.begin()->second.engine->models;
        return models[name == models[0].name ? 0 : 1];
    }

    void loseVms()
    {
        for (std::size_t i = 0; i < lostTogether; ++i) {
            auto vm = m_vms.begin();
            std::advance(vm, m_random() % m_vms.size());
            if (vm->second.isLost)
                continue;
            vm->second.isLost = true;
            vm->second.backAt = m_now + restartTime;
            // The head of a group ends its service at once.
            for (auto &[id, other] : m_vms) {
                if (other.report.group.name == vm->second.report.group.name
                    && other.report.group.state == MemberState::Open)
                    other.report.group.state = MemberState::Broken;
            }
            m_backends.erase(vm->first);
        }
    }

    void advance()
    {
        for (auto &[id, vm] : m_vms) {
            BackendReport &report = vm.report;
            if (vm.isLost && m_now >= vm.backAt) {
                vm = Vm {report, {}, {}, {}, {}, {}, false};
                ++report.startedAt;
                report.group = GroupMembership();
                report.model = ModelId();
            }
            if (report.group.state == MemberState::Joining && m_now >= vm.readyAt)
                report.group.state = MemberState::Ready;
            if (report.group.state == MemberState::Closing && m_now >= vm.drainedAt)
                report.group.state = MemberState::Ready;
            if (!vm.staging.value().empty() && m_now >= vm.stagedAt) {
                report.staged = {vm.staging};
                vm.staging = ModelId();
            }
        }
        updateBackends();
        FormationActions actions;
        m_system->setStoreView(Revision(m_lastRevision), m_now);
        m_system->tick(m_now, actions);
        for (const FormationAction &action : actions) {
            if (const auto *order = std::get_if<SendGroupOrder>(&action))
                apply(*order);
            else if (const auto *probe = std::get_if<ProbeMember>(&action))
                m_system->onMemberProbed({probe->vm, !m_vms.at(probe->vm).isLost}, m_now);
            else if (const auto *write = std::get_if<WritePlan>(&action))
                m_writes.emplace_back(m_now + writeTime, *write);
        }
        while (!m_writes.empty() && m_writes.front().first <= m_now) {
            const WritePlan write = m_writes.front().second;
            m_writes.erase(m_writes.begin());
            const Revision revision(++m_lastRevision);
            m_system->onPlanWritten(write.domain, write.plan, revision);
            if (write.expectedConversion) {
                m_system->onConversionRead(m_lastRevision, revision);
                if (m_result) {
                    ++m_result->conversions;
                    m_result->toLarge += write.plan.promised == names[0] ? 1 : 0;
                }
            }
        }
    }

    void apply(const SendGroupOrder &order)
    {
        Vm &vm = m_vms.at(order.vm);
        if (vm.isLost)
            return;
        GroupMembership &membership = vm.report.group;
        const bool isCurrent =
            membership.name == order.group && membership.generation == order.generation;
        const bool holds = holdsWeights(*m_backends.find(order.vm), order.model);
        const ServedModel &model = modelOf(order.model);
        const Duration loadTime =
            m_hasTraffic ? model.loadTime : model.loadTime / initialLoadSpeedup;
        if (order.kind == GroupOrderKind::Join && !isCurrent) {
            membership = {order.group, order.generation, 0, MemberState::Joining};
            membership.rank = static_cast<std::uint32_t>(
                std::find(order.members.begin(), order.members.end(), order.vm)
                - order.members.begin());
            vm.readyAt = m_now + (holds ? model.warmLoadTime : loadTime);
            vm.report.model = order.model;
            vm.report.staged = {order.model}; // Loading a model also stages its weights.
            vm.staging = ModelId();
            if (m_result)
                ++m_result->loads;
        } else if (order.kind == GroupOrderKind::Open && isCurrent
                   && membership.state == MemberState::Ready) {
            membership.state = MemberState::Open;
        } else if (order.kind == GroupOrderKind::CloseAfterQueue && isCurrent
                   && membership.state == MemberState::Open) {
            membership.state = MemberState::Closing;
            vm.drainedAt = m_now + drainTime;
        } else if (order.kind == GroupOrderKind::Leave && isCurrent) {
            membership = GroupMembership();
            vm.report.model = ModelId();
        } else if (order.kind == GroupOrderKind::Stage) {
            vm.staging = order.model;
            vm.stagedAt = m_now + loadTime;
            if (m_result)
                ++m_result->loads;
        }
        FormationActions actions;
        m_system->onOrderDone({order.vm, GroupOrderOutcome::Accepted}, m_now, actions);
    }

    void updateBackends()
    {
        for (const auto &[id, vm] : m_vms) {
            const Backend *known = m_backends.find(id);
            if (!vm.isLost && (!known || !(known->report == vm.report)))
                m_backends.update(vm.report, m_now);
        }
    }

    static constexpr Duration step {50};
    static constexpr Duration writeTime {100};
    static constexpr Duration drainTime {1'300}; ///< Of the streams of a group that is dissolved.
    static constexpr Duration restartTime {6'000};
    static constexpr double streamMs = 1'000; ///< Typical duration of a request.
    static constexpr double maxQueue = 1; ///< Of the capacity; further requests are refused.
    static constexpr int initialLoadSpeedup = 10;

    ReplayShape m_shape;
    std::mt19937 m_random;
    ServingConfigurationPtr m_configuration;
    BackendTable m_backends;
    std::unique_ptr<FormationSystem> m_system;
    TimePoint m_now = timePoint(1'000'000);
    bool m_hasTraffic = false;
    ReplayResult *m_result = nullptr;
    std::map<VmId, Vm> m_vms;
    std::array<double, 2> m_queues {};
    std::int64_t m_lastRevision = 0;
    std::vector<std::pair<TimePoint, WritePlan>> m_writes;
};

} // namespace bramleypitch
