#pragma once

#include "request/quarantine_type.h"

#include <string>

namespace bramleypitch {

/// The parts of a prompt, given the hashes of their names, for the servers of one service: software
/// differs between services.
PromptParts promptParts(const std::vector<std::uint64_t> &names, const ServiceId &service);
/// The same caller sends the same content to a path of a host: the request as a whole.
PromptPart wholeRequest(std::uint64_t content, const std::string &host,
                        const OrganisationId &organisation, const ServiceId &service);
/// The name of a part in logs and in the store: its value in hexadecimal.
std::string partName(PromptPart part);
/// Parses such a name. Throws Failure(PlatformProtocol) if it is malformed.
PromptPart parsePartName(const std::string &name);

} // namespace bramleypitch
