/// @file
/// @brief Random numbers for choices of policy. Tests pass a generator with a fixed
/// seed.
#pragma once

#include <cstdint>
#include <functional>

namespace wasabispar {

/// @brief Returns a uniform number in [0, aBound); aBound is at least 1. Called on the
/// thread of the aggregate that holds it.
using RandomFn = std::function<std::uint64_t(std::uint64_t aBound)>;

/// @brief A generator with a fixed seed. Copies share no state; not thread-safe.
RandomFn
SeededRandom(std::uint64_t aSeed);

/// @brief A seed from the operating system's entropy source.
std::uint64_t
EntropySeed();

} // namespace wasabispar
