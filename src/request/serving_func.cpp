#include "request/serving_type.h"

namespace bramleypitch {

void ServingConfiguration::keepReadable(const ServingConfiguration *previous)
{
    if (!previous)
        return;
    if (limitsUnreadable)
        limits = previous->limits;
    std::erase_if(unreadableServices, [&](const ServiceId &name) {
        const auto found = previous->services.find(name);
        if (found == previous->services.end())
            return false;
        services.insert(*found);
        return true;
    });
}

const RouteSpec *ServingConfiguration::findRoute(const std::string &host,
                                                 const std::string &path) const
{
    const RouteSpec *best = nullptr;
    for (const RouteSpec &route : routes) {
        if (route.host != host || path.compare(0, route.pathPrefix.size(), route.pathPrefix) != 0)
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const ServedOrganisation *ServingConfiguration::findKey(const std::string &key) const
{
    const auto found = keys.find(key);
    return key.empty() || found == keys.end() ? nullptr : &organisations[found->second];
}

const EngineSpec *ServingConfiguration::engineOf(const ServiceId &service) const
{
    const auto found = services.find(service);
    return found == services.end() || !found->second.engine ? nullptr : &*found->second.engine;
}

const ServedModel *ServingConfiguration::findModel(const ServiceId &service,
                                                   const ModelId &model) const
{
    const EngineSpec *engine = engineOf(service);
    if (!engine)
        return nullptr;
    for (const ServedModel &served : engine->models) {
        if (served.name == model)
            return &served;
    }
    return nullptr;
}

} // namespace bramleypitch
