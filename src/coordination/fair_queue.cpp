#include "coordination/fair_queue.h"

#include <algorithm>

namespace bramleypitch {

void FairQueue::push(const OrganisationId &organisation, double weight, const Item &item)
{
    Flow &flow = m_flows[organisation];
    flow.weight = weight;
    if (flow.count == 0)
        flow.finishTag = std::max(flow.finishTag, m_virtualTime);
    ++flow.count;
    flow.byPriority[item.priority].push_back(item);
}

void FairQueue::pushRetry(const OrganisationId &organisation, const Item &item)
{
    m_retries.push_back({organisation, item});
}

std::optional<FairQueue::Item>
FairQueue::pop(const std::function<bool(const OrganisationId &)> &mayRun)
{
    for (auto it = m_retries.begin(); it != m_retries.end(); ++it) {
        if (!mayRun(it->organisation))
            continue;
        const Item item = it->item;
        m_retries.erase(it);
        return item;
    }
    Flow *next = nullptr;
    for (auto &[organisation, flow] : m_flows) {
        if (flow.count == 0 || !mayRun(organisation))
            continue;
        if (!next || flow.finishTag < next->finishTag)
            next = &flow;
    }
    if (!next)
        return std::nullopt;
    const auto queue = next->byPriority.begin();
    const Item item = queue->second.front();
    queue->second.pop_front();
    if (queue->second.empty())
        next->byPriority.erase(queue);
    --next->count;
    m_virtualTime = next->finishTag;
    next->finishTag += item.cost / next->weight;
    return item;
}

void FairQueue::remove(const OrganisationId &organisation, RequestId request)
{
    const auto isRequest = [&](const Item &item) { return item.request == request; };
    m_retries.erase(std::remove_if(m_retries.begin(), m_retries.end(),
                                   [&](const Retry &retry) { return isRequest(retry.item); }),
                    m_retries.end());
    const auto found = m_flows.find(organisation);
    if (found == m_flows.end())
        return;
    Flow &flow = found->second;
    for (auto it = flow.byPriority.begin(); it != flow.byPriority.end(); ++it) {
        const auto itemIt = std::find_if(it->second.begin(), it->second.end(), isRequest);
        if (itemIt == it->second.end())
            continue;
        it->second.erase(itemIt);
        if (it->second.empty())
            flow.byPriority.erase(it);
        --flow.count;
        return;
    }
}

std::size_t FairQueue::waiting(const OrganisationId &organisation) const
{
    const auto found = m_flows.find(organisation);
    return found == m_flows.end() ? 0 : found->second.count;
}

std::size_t FairQueue::waiting() const
{
    std::size_t count = m_retries.size();
    for (const auto &[organisation, flow] : m_flows)
        count += flow.count;
    return count;
}

double FairQueue::activeWeight(const OrganisationId &organisation, double weight) const
{
    double sum = weight;
    for (const auto &[name, flow] : m_flows) {
        if (flow.count > 0 && name != organisation)
            sum += flow.weight;
    }
    return sum;
}

} // namespace bramleypitch
