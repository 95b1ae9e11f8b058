/// @file
/// @brief The operator command line's main().
#include "wasabispar/app/ctl_run.hpp"

#include <iostream>

int
main(int aCount, char** aValues)
{
  const auto result =
    wasabispar::RunCtl({ aValues + 1, aValues + aCount }, wasabispar::SystemCtlHooks());
  std::cout << result.mOutput;
  std::cerr << result.mErrors;
  return static_cast<int>(result.mExit);
}
