#pragma once

#include "core/strong_type.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace bramleypitch {

/// A queue shared by organisations by weight: start-time fair queueing (Goyal, Vin and Cheng,
/// 1996). Within one organisation higher priorities go first, then older requests. Requests that
/// already had a turn (retries) go before all.
class FairQueue
{
public:
    struct Item
    {
        RequestId request;
        double cost = 1; ///< Expected tokens.
        std::uint32_t priority = 0;
    };

    /// Adds a request of an organisation with this weight.
    void push(const OrganisationId &organisation, double weight, const Item &item);
    /// Puts back a request that already had its turn.
    void pushRetry(const OrganisationId &organisation, const Item &item);
    /// Takes the next request of an organisation that `mayRun` allows; none if there is none.
    std::optional<Item> pop(const std::function<bool(const OrganisationId &)> &mayRun);
    /// Takes a request out, wherever it waits.
    void remove(const OrganisationId &organisation, RequestId request);

    /// Requests that wait, of one organisation or of all.
    std::size_t waiting(const OrganisationId &organisation) const;
    std::size_t waiting() const;
    /// Sum of the weights of organisations with waiting requests, counting `organisation` with
    /// this weight whether it waits or not.
    double activeWeight(const OrganisationId &organisation, double weight) const;

private:
    struct Flow
    {
        double weight = 1;
        double finishTag = 0;
        std::size_t count = 0;
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
