/// @file
/// @brief Renders `/v1/explain`.
#include "wasabispar/app/ctl_explain.hpp"

#include "wasabispar/app/ctl_json.hpp"

namespace wasabispar {

namespace json = boost::json;

CtlReport
RenderExplain(const json::object& aReport)
{
  const auto took = NumberIn(aReport, "took_ms");
  return { "profile " + TextIn(aReport, "profile") + ", caller " +
             TextIn(aReport, "caller") + ", took " +
             (took ? FixedText(*took, 1) + " ms" : "-") + "\n" + TextIn(aReport, "text"),
           false };
}

} // namespace wasabispar
