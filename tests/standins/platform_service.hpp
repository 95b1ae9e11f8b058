/// @file
/// @brief The platform stand-in: reads, watches and the list of VMs on one port, the
/// writes of operators and the modes on a control port.
#pragma once

#include "tests/standins/connection_server.hpp"
#include "tests/standins/platform_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace wasabispar::standins {

enum class PlatformMode
{
  Normal,
  /// Closes its listener and all connections.
  Down,
  /// Answers from an older revision; watches see no newer one.
  Stale,
};

/// @brief Control requests: `PUT` and `DELETE /v1/values/<key>` with an optional
/// `?expected=<revision>` (409 when it differs), `PUT /v1/vms` with the list,
/// `POST /control` with `{"mode","stale_revision"?,"vm_list_lag_ms"?}` and
/// `GET /record`. Runs on the thread of the io_context only.
class PlatformService
{
public:
  explicit PlatformService(boost::asio::io_context& aContext);

  /// @brief The line that the process prints at start.
  boost::json::object Started() const;

private:
  /// A watch that waits for a change.
  struct Watch
  {
    ExchangePtr mExchange;
    std::string mPrefix;
    std::uint64_t mAfter = 0;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void Handle(const ExchangePtr& aExchange);
  void StartWatch(const ExchangePtr& aExchange);
  void EndWatch(std::list<Watch>::iterator aWatch);
  void AnswerWatches();
  boost::json::object Values(const std::string& aPrefix, std::uint64_t aAfter,
                             bool aDeletedToo) const;
  std::uint64_t VisibleRevision() const;

  void Control(const ExchangePtr& aExchange);
  HttpResponse Write(const HttpRequest& aRequest);
  HttpResponse ApplyControl(const HttpRequest& aRequest);
  bool SetMode(const boost::json::object& aBody);
  void CountCall(const std::string& aKind);
  boost::json::object Record() const;

  boost::asio::io_context& mContext;
  PlatformStore mStore;
  PlatformMode mMode = PlatformMode::Normal;
  std::uint64_t mStaleRevision = 0;
  Duration mListLag{};
  std::list<Watch> mWatches;
  std::map<std::string, std::uint64_t> mCalls;
  std::uint64_t mCallsInSecond = 0;
  std::uint64_t mMaxCallsInSecond = 0;
  std::size_t mMaxWatches = 0;
  std::int64_t mSecond = 0;
  std::uint16_t mPort = 0;
  std::uint16_t mControlPort = 0;
  std::unique_ptr<ConnectionServer> mServer;
  std::unique_ptr<ConnectionServer> mControl;
};

} // namespace wasabispar::standins
