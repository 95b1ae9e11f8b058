/// @file
/// @brief The HTTP interface for callers.
#pragma once

#include "wasabispar/app/execution_service.hpp"
#include "wasabispar/app/query_service.hpp"
#include "wasabispar/net/http_server.hpp"

#include <functional>
#include <string>

namespace wasabispar {

/// @brief Whether this VM serves. Any thread.
using ReadinessFn = std::function<bool(std::string& aReason)>;

/// @brief Parses requests of callers and renders the answers. Thread-safe.
class CallerApi
{
public:
  CallerApi(AppContext& aContext, QueryService& aQueries, ExecutionService& aExecutions,
            ReadinessFn aIsReady, std::function<bool()> aMayServe);

  /// @brief Handles one request; see docs/callers/api.md.
  void Handle(HttpRequest aRequest, HttpRespondFn aRespond);

private:
  AppContext& mContext;
  QueryService& mQueries;
  ExecutionService& mExecutions;
  ReadinessFn mIsReady;
  std::function<bool()> mMayServe;
};

/// @brief The response for a refusal: status, `Wasabispar-Outcome` and a JSON body.
HttpResponse
RefusalResponse(unsigned aStatus, const Error& aError);

/// @brief The response for `GET /readyz`.
HttpResponse
ReadinessResponse(const ReadinessFn& aIsReady);

} // namespace wasabispar
