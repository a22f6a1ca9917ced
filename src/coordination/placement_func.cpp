#include "coordination/placement_func.h"

#include "coordination/environment_func.h"
#include "core/rendezvous_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace bramleypitch {

namespace {

constexpr std::string_view serviceDomainPrefix = "service/";

/// Performs one planning step on a copy of the placement value.
class Planner
{
public:
    Planner(const DomainPlacement &placement, const PlanInput &input, const PlacementLimits &limits,
            TimePoint now)
        : m_next(placement)
        , m_input(input)
        , m_limits(limits)
        , m_now(now)
    {
    }

    DomainPlacement run()
    {
        dissolveGroups();
        freeReleasedVms();
        replaceHomes();
        if (isServiceDomain())
            placeServers();
        else
            formGroups();
        return m_next;
    }

    std::optional<Prefetch> selectPrefetch() const
    {
        if (isServiceDomain())
            return std::nullopt;
        for (const ModelGroupSpec &spec : m_input.envelope->environment.modelGroups) {
            if (countGroups(spec) == 0)
                continue;
            for (const Vm *vm : freeVms(spec.model)) {
                if (vm->report->heldModel != spec.model)
                    return Prefetch {vm->record.id, spec.model};
            }
            return std::nullopt;
        }
        return std::nullopt;
    }

private:
    bool isServiceDomain() const
    {
        return m_input.domain.value().substr(0, serviceDomainPrefix.size()) == serviceDomainPrefix;
    }

    /// Whether a group belongs to this environment. Groups of others must not be changed.
    bool isOwnEnvironment(const PlacedGroup &group) const
    {
        return group.environment == m_input.envelope->environment.name;
    }

    /// Whether a VM is no longer listed in this domain or has been silent for too long.
    bool isLost(const VmId &id) const
    {
        const Vm *vm = m_input.vms->find(id);
        if (!vm || !vm->listed || vm->record.domain != m_input.domain)
            return true;
        const TimePoint silentSince = std::max(vm->lastSeen, m_input.ownerSince);
        return !vm->report && m_now - silentSince >= m_limits.memberLossTimeout;
    }

    /// Whether a group has a member that is leaving and no longer runs any request.
    bool hasDrained(const PlacedGroup &group) const
    {
        bool leaving = false;
        for (const VmId &member : group.members) {
            const Vm *vm = m_input.vms->find(member);
            leaving = leaving || (vm && vm->record.leaving);
        }
        const Vm *head = m_input.vms->find(group.members.front());
        return leaving && head && head->report && head->report->running == 0;
    }

    /// Whether the document still requires this group with its span in this domain.
    bool matchesSpec(const PlacedGroup &group) const
    {
        const ModelGroupSpec *spec =
            findModelGroup(m_input.envelope->environment, ModelGroupId(group.target));
        if (!spec || spec->span != group.members.size())
            return false;
        return std::find(spec->fabricDomains.begin(), spec->fabricDomains.end(), m_input.domain)
            != spec->fabricDomains.end();
    }

    bool mustDissolve(const PlacedGroup &group) const
    {
        if (!isOwnEnvironment(group))
            return false;
        if (isServiceDomain())
            return std::any_of(group.members.begin(), group.members.end(), [&](const VmId &id) {
                const Vm *vm = m_input.vms->find(id);
                return !vm || !vm->listed;
            });
        if (!matchesSpec(group) || hasDrained(group))
            return true;
        return std::any_of(group.members.begin(), group.members.end(),
                           [&](const VmId &id) { return isLost(id); });
    }

    void dissolveGroups()
    {
        std::vector<PlacedGroup> remaining;
        for (PlacedGroup &group : m_next.groups) {
            if (!mustDissolve(group)) {
                remaining.push_back(std::move(group));
                continue;
            }
            if (!isServiceDomain())
                release(group);
        }
        m_next.groups = std::move(remaining);
    }

    /// Marks the members of a dissolved group as released, with a new fencing token.
    void release(const PlacedGroup &group)
    {
        const ModelGroupSpec *spec =
            findModelGroup(m_input.envelope->environment, ModelGroupId(group.target));
        const Generation fence(m_next.nextGeneration++);
        for (const VmId &member : group.members)
            m_next.released.push_back({member, fence, spec && spec->checksFencing});
    }

    /// Removes released VMs that have confirmed, waited long enough and still report no group.
    void freeReleasedVms()
    {
        auto &released = m_next.released;
        const auto canBeFreed = [&](const ReleasedVm &vm) {
            const auto confirmed = m_input.releaseConfirmedAt.find({vm.vm, vm.fence});
            return confirmed != m_input.releaseConfirmedAt.end()
                && m_now - confirmed->second >= releaseWait(vm, m_limits) && reportsNoGroup(vm.vm);
        };
        released.erase(std::remove_if(released.begin(), released.end(), canBeFreed),
                       released.end());
    }

    /// Whether a recent report of the VM shows that it belongs to no group.
    bool reportsNoGroup(const VmId &id) const
    {
        const Vm *vm = m_input.vms->find(id);
        return vm && vm->report && vm->report->group.value().empty()
            && m_now - vm->confirmedAt < m_limits.memberFreshness;
    }

    /// Returns the lease record of the group's home, or null if the home has lost its lease.
    const NodeRecord *homeRecord(const PlacedGroup &group) const
    {
        for (const NodeRecord &node : m_input.nodes) {
            if (node.node == group.home && node.incarnation == group.homeIncarnation)
                return &node;
        }
        return nullptr;
    }

    void assignHome(PlacedGroup &group) const
    {
        const auto name = [](const NodeRecord &node) { return node.node.value(); };
        const auto order = rendezvousOrder(group.id.value(), m_input.nodes, name);
        group.home = order.front().node;
        group.homeIncarnation = order.front().incarnation;
    }

    void replaceHomes()
    {
        for (PlacedGroup &group : m_next.groups) {
            if (isOwnEnvironment(group) && !m_input.nodes.empty() && !homeRecord(group))
                assignHome(group);
        }
    }

    /// Returns the VMs that belong to a group or have been released but not yet freed.
    std::set<VmId> unavailableVms() const
    {
        std::set<VmId> vms;
        for (const PlacedGroup &group : m_next.groups)
            vms.insert(group.members.begin(), group.members.end());
        for (const ReleasedVm &released : m_next.released)
            vms.insert(released.vm);
        return vms;
    }

    /// Returns the VMs that may join a group now. Those that hold the weights of the model come
    /// first.
    std::vector<const Vm *> freeVms(const std::string &model) const
    {
        const std::set<VmId> used = unavailableVms();
        std::vector<const Vm *> vms;
        for (const Vm *vm : m_input.vms->listedVmsOfDomain(m_input.domain)) {
            const bool usable = vm->report && !vm->record.leaving
                && m_now - vm->confirmedAt < m_limits.memberFreshness;
            if (usable && !used.count(vm->record.id))
                vms.push_back(vm);
        }
        std::stable_partition(vms.begin(), vms.end(),
                              [&](const Vm *vm) { return vm->report->heldModel == model; });
        return vms;
    }

    std::size_t countGroups(const ModelGroupSpec &spec) const
    {
        return std::count_if(
            m_next.groups.begin(), m_next.groups.end(), [&](const PlacedGroup &group) {
                return isOwnEnvironment(group) && group.target == spec.name.value();
            });
    }

    void formGroups()
    {
        if (m_input.nodes.empty())
            return;
        for (const ModelGroupSpec &spec : m_input.envelope->environment.modelGroups) {
            const auto &domains = spec.fabricDomains;
            if (std::find(domains.begin(), domains.end(), m_input.domain) == domains.end())
                continue;
            std::vector<const Vm *> free = freeVms(spec.model);
            std::size_t used = 0;
            while (free.size() - used >= spec.span
                   && (spec.groupsPerDomain == 0 || countGroups(spec) < spec.groupsPerDomain)) {
                std::vector<VmId> members;
                for (std::uint32_t i = 0; i < spec.span; ++i)
                    members.push_back(free[used++]->record.id);
                addGroup(spec.name.value(), std::move(members));
            }
        }
    }

    void addGroup(const std::string &target, std::vector<VmId> members)
    {
        PlacedGroup group;
        group.generation = Generation(m_next.nextGeneration++);
        group.id = GroupId(m_input.domain.value() + "/" + std::to_string(group.generation.value()));
        group.environment = m_input.envelope->environment.name;
        group.target = target;
        group.members = std::move(members);
        assignHome(group);
        m_next.groups.push_back(std::move(group));
    }

    /// Adds a group for each backend server of the service that has none.
    void placeServers()
    {
        if (m_input.nodes.empty())
            return;
        const std::set<VmId> used = unavailableVms();
        const std::string service = m_input.domain.value().substr(serviceDomainPrefix.size());
        for (const Vm *vm : m_input.vms->listedVmsOfDomain(m_input.domain)) {
            if (!used.count(vm->record.id))
                addGroup(service, {vm->record.id});
        }
    }

    DomainPlacement m_next;
    const PlanInput &m_input;
    const PlacementLimits &m_limits;
    TimePoint m_now;
};

} // namespace

DomainPlacement parsePlacement(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        DomainPlacement placement;
        json.at("domain").get_to(placement.domain);
        json.at("next_generation").get_to(placement.nextGeneration);
        json.at("nonce").get_to(placement.nonce);
        for (const nlohmann::json &item : json.at("groups")) {
            PlacedGroup group;
            item.at("id").get_to(group.id);
            item.at("environment").get_to(group.environment);
            item.at("target").get_to(group.target);
            item.at("generation").get_to(group.generation);
            item.at("members").get_to(group.members);
            item.at("home").get_to(group.home);
            item.at("home_incarnation").get_to(group.homeIncarnation);
            if (group.members.empty())
                throw Failure(ErrorCode::PlatformProtocol,
                              "placement value contains a group without members");
            placement.groups.push_back(std::move(group));
        }
        for (const nlohmann::json &item : json.at("released")) {
            ReleasedVm released;
            item.at("vm").get_to(released.vm);
            item.at("fence").get_to(released.fence);
            item.at("checks_fencing").get_to(released.checksFencing);
            placement.released.push_back(std::move(released));
        }
        return placement;
    } catch (const nlohmann::json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol, error.what());
    }
}

std::string serializePlacement(const DomainPlacement &placement)
{
    nlohmann::json json {{"domain", placement.domain},
                         {"next_generation", placement.nextGeneration},
                         {"nonce", placement.nonce},
                         {"groups", nlohmann::json::array()},
                         {"released", nlohmann::json::array()}};
    for (const PlacedGroup &group : placement.groups)
        json["groups"].push_back({{"id", group.id},
                                  {"environment", group.environment},
                                  {"target", group.target},
                                  {"generation", group.generation},
                                  {"members", group.members},
                                  {"home", group.home},
                                  {"home_incarnation", group.homeIncarnation}});
    for (const ReleasedVm &released : placement.released)
        json["released"].push_back({{"vm", released.vm},
                                    {"fence", released.fence},
                                    {"checks_fencing", released.checksFencing}});
    return json.dump();
}

std::optional<DomainPlacement> planDomain(const DomainPlacement &placement, const PlanInput &input,
                                          const PlacementLimits &limits, TimePoint now)
{
    DomainPlacement next = Planner(placement, input, limits, now).run();
    if (next == placement)
        return std::nullopt;
    return next;
}

std::optional<Prefetch> nextPrefetch(const DomainPlacement &placement, const PlanInput &input,
                                     const PlacementLimits &limits, TimePoint now)
{
    return Planner(placement, input, limits, now).selectPrefetch();
}

Duration releaseWait(const ReleasedVm &released, const PlacementLimits &limits)
{
    const Duration gateClosingTime = limits.memberFreshness + limits.clockMargin;
    if (released.checksFencing)
        return gateClosingTime;
    return gateClosingTime + limits.orderLifetime;
}

DomainId serviceDomain(const ServiceId &service)
{
    return DomainId(std::string(serviceDomainPrefix) + service.value());
}

std::vector<DomainId> referencedDomains(const Environment &environment)
{
    std::set<DomainId> domains;
    for (const ModelGroupSpec &spec : environment.modelGroups)
        domains.insert(spec.fabricDomains.begin(), spec.fabricDomains.end());
    for (const ServiceSpec &spec : environment.services)
        domains.insert(serviceDomain(spec.name));
    return {domains.begin(), domains.end()};
}

std::uint32_t strandedVms(std::uint32_t usable, std::uint32_t span)
{
    return usable % span;
}

} // namespace bramleypitch
