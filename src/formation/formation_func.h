#pragma once

#include "formation/formation_type.h"
#include "request/backend_base.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace bramleypitch {

/// Parses a stored plan. Throws Failure(PlatformProtocol) if it is malformed.
FormationPlan parsePlan(std::string_view text);
/// Serializes a plan for the store, as compact JSON.
std::string serializePlan(const FormationPlan &plan);

/// Relative number of groups that a model needs according to its published share. The share refers
/// to VM time, and a group occupies `span` VMs at once.
double publishedWork(const ServedModel &model);

/// Whether the weights of a model are loaded or stored on the VM.
bool holdsWeights(const Backend &backend, const ModelId &model);

} // namespace bramleypitch
