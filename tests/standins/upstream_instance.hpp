/// @file
/// @brief One upstream instance: its port, its searchers and its misbehaviour.
#pragma once

#include "tests/standins/connection_server.hpp"
#include "tests/standins/index_layout.hpp"
#include "tests/standins/latency_model.hpp"
#include "tests/standins/searcher.hpp"
#include "tests/standins/upstream_record.hpp"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar::standins {

/// @brief What all instances of a group have in common at start.
struct InstanceOptions
{
  std::string mIndex = "index";
  LayoutSettings mLayout;
  std::size_t mSlots = 2;
  std::size_t mConnectionLimit = 25;
  Duration mConnectionCost = std::chrono::milliseconds(6);
  std::size_t mShards = 1;
  std::uint64_t mVersion = 1;
  std::size_t mQueueLimit = 64;
  LatencySettings mLatency;
  std::uint64_t mSeed = 1;
};

/// @brief Settings that the control port changes while the instance runs.
struct InstanceSettings
{
  bool mDraining = false;
  /// True: a draining instance still serves new work and only sends the header.
  bool mDrainAccepts = false;
  bool mDown = false;
  LatencySettings mLatency;
  double mLatencyFactor = 1.0;
  std::size_t mQueueLimit = 64;
  /// After a restart the latency is mColdStartFactor times higher for this time.
  double mColdStartMs = 0;
  double mColdStartFactor = 5.0;
  /// Work that contains this text crashes the instance; empty: none does.
  std::string mCrashText = "!crash!";
  double mCrashDownMs = 1000;
  /// Executions answer 500 after they ran.
  bool mExecuteFails = false;
  /// /health and /load show a value of up to this age.
  double mHealthLagMs = 0;
  /// Fixed answers of /health and /load, true or not; empty: the real value.
  std::string mHealthLie;
  std::string mLoadLie;
};

/// @brief Runs on the thread of the io_context only.
class UpstreamInstance
{
public:
  UpstreamInstance(boost::asio::io_context& aContext, std::string aName,
                   std::size_t aNumber, const InstanceOptions& aOptions,
                   UpstreamRecord& aRecord);

  const std::string& Name() const { return mName; }
  std::uint16_t Port() const { return mPort; }
  /// @brief Applies the member `set` of a control request. Returns the name of the
  /// first unknown or malformed setting; empty when all are applied.
  std::string Set(const boost::json::object& aSettings);
  boost::json::object Status() const;

private:
  void Handle(const ExchangePtr& aExchange);
  void Search(const ExchangePtr& aExchange);
  void Execute(const ExchangePtr& aExchange);
  void Cancel(const ExchangePtr& aExchange);
  /// Counts the arrival; false when the instance crashed or refused the work.
  bool Admit(const ExchangePtr& aExchange, const boost::json::object& aBody);
  void Submit(const ExchangePtr& aExchange, std::size_t aSearcher, SearcherJobPtr aJob,
              std::function<boost::json::object()> aResult);
  void Respond(const ExchangePtr& aExchange, unsigned aStatus,
               const boost::json::object& aBody);
  boost::json::object State() const;
  boost::json::object Load() const;
  boost::json::object Lagging(boost::json::object aValue, const std::string& aLie,
                              const char* aName);
  Duration ProcessingTime();
  void Crash();
  void GoDown();
  void ComeBack();

  bool SetMember(std::string_view aName, const boost::json::value& aValue);
  bool SetLatency(std::string_view aName, const boost::json::value& aValue);
  bool SetVersions(std::string_view aName, const boost::json::value& aValue);
  void SetDraining(bool aDraining);
  void SetFreeze(std::string_view aMode);

  boost::asio::io_context& mContext;
  std::string mName;
  std::size_t mNumber;
  InstanceOptions mOptions;
  InstanceSettings mSettings;
  UpstreamRecord& mRecord;
  LatencyModel mLatency;
  std::vector<std::unique_ptr<Searcher>> mSearchers;
  /// Number of shards of each version that the instance holds.
  std::map<std::uint64_t, std::size_t> mVersions;
  std::uint16_t mPort = 0;
  std::optional<TimePoint> mColdUntil;
  std::optional<TimePoint> mDrainingSince;
  std::uint64_t mSearchesStarted = 0;
  std::uint64_t mExecutionsStarted = 0;
  std::uint64_t mReceivedWhileDraining = 0;
  Duration mLastReceivedAfterDrain{};
  /// The values that /health and /load show while they lag, with their time.
  std::map<std::string, std::pair<TimePoint, boost::json::object>> mShown;
  boost::asio::steady_timer mRestart;
  std::unique_ptr<ConnectionServer> mServer;
};

} // namespace wasabispar::standins
