#include "formation/initial_split.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace bramleypitch {

namespace {

/// Value of the first group of a model, relative to its share of the VMs and one VM for the model
/// itself. Higher than that of all further groups.
constexpr double firstGroupValue = 1'000;
/// Additional value of VMs for a model that is far below its share, which spreads a shortfall over
/// all models.
constexpr double balanceWeight = 0.25;
/// Value of VMs beyond the share of a model, relative to those within it.
constexpr double surplusValue = 0.1;
/// Maximum number of assignments of groups to a domain that follow perturbations, in one pass each.
constexpr int maxPerturbedAssignments = 400;
constexpr int minPerturbations = 4;
constexpr double minImprovement = 1e-6; ///< Smaller differences are rounding errors.
/// Passes over all domains that adjust each of them to the others.
constexpr int maxAdjustments = 12;
/// Steps of the search for models that can all have a group, which bounds its time with many
/// models.
constexpr int maxPackingSteps = 20'000;

/// A model, and the number of VMs that its share of the fleet amounts to.
struct ModelShare
{
    std::uint32_t span = 1;
    double vms = 0;

    /// What it is worth that the model has a group at all.
    double coverage() const { return vms > 0 ? vms + 1 : 0; }
};

/// The domains and their group counts while the split is computed.
class SplitSearch
{
public:
    SplitSearch(std::vector<std::uint32_t> sizes, const EngineSpec &engine)
        : m_sizes(std::move(sizes))
        , m_counts(m_sizes.size(), GroupCounts(engine.models.size(), 0))
        , m_totals(engine.models.size(), 0)
    {
        double shares = 0;
        for (const ServedModel &model : engine.models) {
            m_models.push_back(
                {std::max<std::uint32_t>(model.span, 1), std::max(model.share, 0.0)});
            shares += m_models.back().vms;
        }
        const double fleet = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0);
        for (ModelShare &model : m_models)
            model.vms = shares > 0 ? model.vms / shares * fleet
                                   : fleet / static_cast<double>(m_models.size());
    }

    std::vector<GroupCounts> run()
    {
        placeFirstGroups();
        fill();
        std::vector<std::size_t> order(m_sizes.size());
        std::iota(order.begin(), order.end(), 0);
        adjust(order);
        std::vector<GroupCounts> best = m_counts;
        double highest = value();
        // Adjusting one domain at a time may end where only a change of several would help, so some
        // domains get random groups to which the others are adjusted. The generator has a fixed
        // seed: all nodes get the same result.
        std::mt19937 random;
        for (int i = 0; i < maxPerturbations(); ++i) {
            m_counts = best;
            m_totals = totals();
            const std::size_t perturbed = 1 + random() % std::min<std::size_t>(order.size(), 3);
            for (std::size_t j = 0; j < perturbed; ++j) {
                // The perturbed domains are adjusted last.
                std::swap(order[random() % order.size()], order[order.size() - 1 - j]);
                setRandomGroups(order[order.size() - 1 - j], random);
            }
            adjust(order);
            if (value() > highest + minImprovement) {
                highest = value();
                best = m_counts;
            }
        }
        return best;
    }

private:
    /// Value of `groups` groups of a model if it is to have a share of `vms` VMs. Concave, so that
    /// each further group is worth less.
    static double valueOf(const ModelShare &model, double vms, std::uint32_t groups)
    {
        if (groups == 0 || vms <= 0)
            return groups == 0 ? -balanceWeight * vms : 0;
        const double supplied = static_cast<double>(groups) * model.span;
        const double missing = std::max(vms - supplied, 0.0);
        const double surplus = supplied > vms ? surplusValue * vms * std::log(supplied / vms) : 0;
        return firstGroupValue * model.coverage() + std::min(supplied, vms)
            - balanceWeight * missing * missing / vms + surplus;
    }

    double value() const
    {
        double sum = 0;
        for (std::size_t i = 0; i < m_models.size(); ++i)
            sum += valueOf(m_models[i], m_models[i].vms, m_totals[i]);
        return sum;
    }

    GroupCounts totals() const
    {
        GroupCounts sum(m_models.size(), 0);
        for (const GroupCounts &counts : m_counts)
            std::transform(sum.begin(), sum.end(), counts.begin(), sum.begin(), std::plus<>());
        return sum;
    }

    /// Number of perturbations. Large fleets need few, as a domain is a small part of them.
    int maxPerturbations() const
    {
        const auto domains = static_cast<int>(m_sizes.size());
        return domains < 2 ? 0 : std::max(maxPerturbedAssignments / domains, minPerturbations);
    }

    /// Fills a domain with groups of random models.
    void setRandomGroups(std::size_t domain, std::mt19937 &random)
    {
        std::uint32_t vms = m_sizes[domain];
        GroupCounts &counts = m_counts[domain];
        counts.assign(m_models.size(), 0);
        for (;;) {
            std::vector<std::size_t> fitting;
            for (std::size_t i = 0; i < m_models.size(); ++i) {
                if (m_models[i].span <= vms && m_models[i].vms > 0)
                    fitting.push_back(i);
            }
            if (fitting.empty())
                break;
            const std::size_t model = fitting[random() % fitting.size()];
            ++counts[model];
            vms -= m_models[model].span;
        }
        m_totals = totals();
    }

    /// Finds the models with the highest total share that can all have one group, and places one
    /// group of each.
    void placeFirstGroups()
    {
        std::vector<std::size_t> order(m_models.size());
        std::iota(order.begin(), order.end(), 0);
        // Large groups are the hardest to place.
        std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
            return m_models[a].span > m_models[b].span;
        });
        std::vector<std::uint32_t> left = m_sizes;
        std::vector<Placement> placed;
        double remaining = 0;
        for (const ModelShare &model : m_models)
            remaining += model.coverage();
        searchFirstGroups(order, 0, 0, remaining, left, placed);
        for (const Placement &placement : m_bestPlaced) {
            ++m_counts[placement.domain][placement.model];
            ++m_totals[placement.model];
        }
    }

    /// A group of a model in a domain, both by index.
    struct Placement
    {
        std::size_t domain = 0;
        std::size_t model = 0;
    };

    void searchFirstGroups(const std::vector<std::size_t> &order, std::size_t next, double covered,
                           double remaining, std::vector<std::uint32_t> &left,
                           std::vector<Placement> &placed)
    {
        if (covered > m_bestCovered) {
            m_bestCovered = covered;
            m_bestPlaced = placed;
        }
        if (next == order.size() || covered + remaining <= m_bestCovered
            || ++m_packingSteps > maxPackingSteps)
            return;
        const std::size_t i = order[next];
        const ModelShare &model = m_models[i];
        // Domains with the same number of VMs left are equivalent. The tightest fit comes first.
        std::vector<std::size_t> domains(left.size());
        std::iota(domains.begin(), domains.end(), 0);
        std::stable_sort(domains.begin(), domains.end(),
                         [&left](std::size_t a, std::size_t b) { return left[a] < left[b]; });
        std::uint32_t tried = 0;
        for (const std::size_t domain : domains) {
            if (left[domain] < model.span || left[domain] == tried || model.vms <= 0)
                continue;
            tried = left[domain];
            left[domain] -= model.span;
            placed.push_back({domain, i});
            searchFirstGroups(order, next + 1, covered + model.coverage(),
                              remaining - model.coverage(), left, placed);
            placed.pop_back();
            left[domain] += model.span;
        }
        searchFirstGroups(order, next + 1, covered, remaining - model.coverage(), left, placed);
    }

    /// Fills the domains one after the other, each time matching the shares of all VMs so far.
    void fill()
    {
        const double fleet = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0);
        double vms = 0;
        for (std::size_t domain = 0; domain < m_sizes.size(); ++domain) {
            vms += m_sizes[domain];
            assign(domain, m_counts[domain], vms / fleet);
        }
    }

    /// Adjusts each domain to all others, in the given order, until none changes.
    void adjust(const std::vector<std::size_t> &order)
    {
        for (int pass = 0; pass < maxAdjustments; ++pass) {
            bool changed = false;
            for (const std::size_t domain : order) {
                const GroupCounts previous = m_counts[domain];
                assign(domain, GroupCounts(m_models.size(), 0), 1);
                changed = changed || m_counts[domain] != previous;
            }
            if (!changed)
                return;
        }
    }

    /// Sets the group counts of a domain to those of the highest value, at least `minimum`, with
    /// the groups of all other domains as they are. `portion` is the part of the fleet whose shares
    /// are to be matched.
    void assign(std::size_t domain, const GroupCounts &minimum, double portion)
    {
        std::uint32_t vms = m_sizes[domain];
        for (std::size_t i = 0; i < m_models.size(); ++i) {
            m_totals[i] -= m_counts[domain][i];
            vms -= minimum[i] * m_models[i].span;
        }
        // best[n]: highest value of the models so far with groups on at most n VMs. Exact, because
        // the value is a sum over the models.
        std::vector<double> best(vms + 1, 0);
        std::vector<std::vector<std::uint32_t>> chosen;
        for (std::size_t i = 0; i < m_models.size(); ++i) {
            const ModelShare &model = m_models[i];
            std::vector<double> values;
            for (std::uint32_t groups = 0; groups * model.span <= vms; ++groups)
                values.push_back(
                    valueOf(model, model.vms * portion, m_totals[i] + minimum[i] + groups));
            std::vector<double> next(vms + 1, 0);
            std::vector<std::uint32_t> counts(vms + 1, 0);
            for (std::uint32_t n = 0; n <= vms; ++n) {
                next[n] = best[n] + values[0];
                for (std::uint32_t groups = 1; groups * model.span <= n; ++groups) {
                    const double sum = best[n - groups * model.span] + values[groups];
                    if (sum > next[n]) {
                        next[n] = sum;
                        counts[n] = groups;
                    }
                }
            }
            best = std::move(next);
            chosen.push_back(std::move(counts));
        }
        for (std::size_t i = m_models.size(); i-- > 0;) {
            const std::uint32_t groups = chosen[i][vms];
            vms -= groups * m_models[i].span;
            m_counts[domain][i] = minimum[i] + groups;
            m_totals[i] += m_counts[domain][i];
        }
    }

    std::vector<std::uint32_t> m_sizes;
    std::vector<ModelShare> m_models;
    std::vector<GroupCounts> m_counts; ///< By domain.
    GroupCounts m_totals; ///< Groups of each model over all domains.
    double m_bestCovered = 0; ///< Sum of coverage() of the models in m_bestPlaced.
    std::vector<Placement> m_bestPlaced;
    int m_packingSteps = 0;
};

} // namespace

std::map<DomainId, GroupCounts> initialSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                                             const EngineSpec &engine)
{
    std::vector<std::uint32_t> sizes;
    sizes.reserve(vmsByDomain.size());
    for (const auto &[domain, vms] : vmsByDomain)
        sizes.push_back(vms);
    SplitSearch search(std::move(sizes), engine);
    std::vector<GroupCounts> counts = search.run();
    std::map<DomainId, GroupCounts> result;
    std::size_t index = 0;
    for (const auto &[domain, vms] : vmsByDomain)
        result[domain] = std::move(counts[index++]);
    return result;
}

} // namespace bramleypitch
