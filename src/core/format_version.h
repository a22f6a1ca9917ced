#pragma once

#include <cstdint>

namespace bramleypitch {

/// Version of what nodes tell each other and of their records in the store. It rises when their
/// meaning changes or grows; every build understands all versions, as docs/OPERATING.md describes.
constexpr std::int32_t formatVersion = 2;
/// The version of messages and records that state none.
constexpr std::int32_t unstatedFormatVersion = 1;

} // namespace bramleypitch
