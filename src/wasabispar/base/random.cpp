/// @file
/// @brief Random numbers from the Mersenne Twister of the standard library.
#include "wasabispar/base/random.hpp"

#include <random>

namespace wasabispar {

RandomFn
SeededRandom(std::uint64_t aSeed)
{
  return [engine = std::mt19937_64(aSeed)](std::uint64_t aBound) mutable {
    // Unlike std::uniform_int_distribution, the remainder gives the same results with
    // every standard library. For the bounds used here, the bias is below 2^-32.
    return engine() % aBound;
  };
}

std::uint64_t
EntropySeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace wasabispar
