/// @file
/// @brief Random numbers for policy decisions. Tests pass a generator with a fixed seed.
#pragma once

#include <cstdint>
#include <functional>

namespace wasabispar {

/// @brief Returns a uniformly distributed number in [0, aBound); aBound is at least 1.
/// Called only on the thread of the object that owns the generator.
using RandomFn = std::function<std::uint64_t(std::uint64_t aBound)>;

/// @brief Creates a generator with a fixed seed. Copies share no state; not thread-safe.
RandomFn
SeededRandom(std::uint64_t aSeed);

/// @brief Reads a seed from the operating system's entropy source.
std::uint64_t
EntropySeed();

} // namespace wasabispar
