/// @file
/// @brief Micro benchmarks of the structures at the size in two years; see
/// docs/CAPACITY.md.
#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
