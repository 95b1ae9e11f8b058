/// @file
/// @brief Prints what one caller at ten times its share costs the other callers, for
/// FairQueue, a naive round robin and one queue for all, in virtual time.
#include "queue_simulation.hpp"

#include <iomanip>
#include <iostream>

using namespace wasabispar::simulation;

namespace {

void
PrintRow(const char* aName, std::size_t aCallers, double aLoad,
         const std::function<QueuePolicy()>& aPolicy)
{
  SlotLoad load;
  load.mCallers = aCallers;
  load.mOfferedLoad = aLoad;
  const auto calm = SimulateSlots(load, aPolicy());
  load.mExcessFactor = 10;
  const auto crowded = SimulateSlots(load, aPolicy());
  const auto rise = [](double aBefore, double aAfter) {
    return (aAfter / aBefore - 1) * 100;
  };
  std::cout << "| " << aName << " | " << aCallers << " | " << aLoad << std::fixed
            << std::setprecision(2) << " | " << calm.mMeanMs << " | " << crowded.mMeanMs
            << std::setprecision(0) << " | " << rise(calm.mMeanMs, crowded.mMeanMs)
            << std::setprecision(2) << " | " << calm.mP99Ms << " | " << crowded.mP99Ms
            << std::setprecision(0) << " | "
            << rise(calm.mResponseP99Ms, crowded.mResponseP99Ms) << " |\n"
            << std::defaultfloat << std::setprecision(6);
}

} // namespace

int
main()
{
  std::cout << "| queue | callers | load | mean ms | mean ms, 10x | rise % | p99 ms | "
               "p99 ms, 10x | response p99 rise % |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const std::size_t callers : { 4U, 20U }) {
    for (const auto load : { 0.5, 0.7, 0.8, 0.9, 0.95 }) {
      for (const auto credit : { 0U, 16U, 32U, 64U, 128U }) {
        const auto name = "FairQueue, credit " + std::to_string(credit);
        PrintRow(name.c_str(), callers, load, [credit] { return FairPolicy(credit); });
      }
      PrintRow("naive round robin", callers, load,
               [callers] { return NaiveRoundRobinPolicy(callers); });
      if (load == 0.9) {
        PrintRow("one queue", callers, load, FifoPolicy);
      }
    }
  }
  return 0;
}
