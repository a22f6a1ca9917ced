#pragma once

#include "core/strong_type.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace bramleypitch {

/// A queue that organisations share in proportion to their weights, by start-time fair queueing
/// (Goyal, Vin and Cheng, 1996). Within an organisation, higher priorities come first, then older
/// requests. Requests that were already popped once (retries) come before all others.
class FairQueue
{
public:
    struct Item
    {
        RequestId request;
        double cost = 1; ///< Maximum number of tokens.
        std::uint32_t priority = 0; ///< Higher values are served first.
    };

    /// Adds a request of an organisation that has weight `weight`.
    void push(const OrganisationId &organisation, double weight, const Item &item);
    /// Puts back a request that was already popped.
    void pushRetry(const OrganisationId &organisation, const Item &item);
    /// Removes and returns the next request of an organisation for which `mayRun` is true, if any.
    std::optional<Item> pop(const std::function<bool(const OrganisationId &)> &mayRun);
    /// Removes a request, whether it is a retry or not.
    void remove(const OrganisationId &organisation, RequestId request);

    /// Number of waiting requests of one organisation, without retries.
    std::size_t waiting(const OrganisationId &organisation) const;
    /// Number of all waiting requests, including retries.
    std::size_t waiting() const;
    /// Sum of the weights of all organisations with waiting requests. `organisation` is always
    /// included, with weight `weight`.
    double activeWeight(const OrganisationId &organisation, double weight) const;

private:
    struct Flow
    {
        double weight = 1;
        double finishTag = 0; ///< Virtual finish time of the last popped request.
        std::size_t count = 0; ///< Number of waiting requests.
        std::map<std::uint32_t, std::deque<Item>, std::greater<>> byPriority;
    };
    struct Retry
    {
        OrganisationId organisation;
        Item item;
    };

    std::map<OrganisationId, Flow> m_flows;
    std::deque<Retry> m_retries;
    double m_virtualTime = 0;
};

} // namespace bramleypitch
