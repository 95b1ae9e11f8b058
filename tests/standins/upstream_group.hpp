/// @file
/// @brief All instances of one upstream group and the control port.
#pragma once

#include "tests/standins/upstream_instance.hpp"

#include <memory>
#include <string>
#include <vector>

namespace wasabispar::standins {

struct GroupOptions
{
  /// Instances are named `<name>-<number>`.
  std::string mName = "upstream";
  std::size_t mInstances = 1;
  InstanceOptions mInstance;
};

/// @brief The group and its control port. Control requests: `POST /control` with
/// `{"instance": name or "*", "set": {...}}` and `GET /record`.
class UpstreamGroup
{
public:
  UpstreamGroup(boost::asio::io_context& aContext, GroupOptions aOptions);

  /// @brief The line that the process prints at start.
  boost::json::object Started() const;

private:
  void Control(const ExchangePtr& aExchange);
  HttpResponse ApplyControl(const HttpRequest& aRequest);
  boost::json::object Record() const;

  UpstreamRecord mRecord;
  std::vector<std::unique_ptr<UpstreamInstance>> mInstances;
  std::unique_ptr<ConnectionServer> mControl;
  std::uint16_t mControlPort = 0;
};

} // namespace wasabispar::standins
