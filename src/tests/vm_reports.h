#pragma once

#include "request/backend_type.h"

#include <string>
#include <vector>

namespace bramleypitch {

/// Reports of the VMs of a fleet: without groups, in `domains` fabric domains of equal size.
inline std::vector<BackendReport> vmReports(std::size_t domains, std::size_t vmsPerDomain)
{
    std::vector<BackendReport> reports;
    reports.reserve(domains * vmsPerDomain);
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t i = 0; i < vmsPerDomain; ++i) {
            BackendReport report;
            report.id = VmId("vm" + std::to_string(domain) + "-" + std::to_string(i + 100));
            report.service = ServiceId("engines");
            report.domain = DomainId("d" + std::to_string(domain));
            report.startedAt = 1;
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

} // namespace bramleypitch
