/// @file
/// @brief Quarantine of requests that crashed upstreams: they are refused for a limited
/// time.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/execution/end_condition.hpp"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief Period and size limit of a Quarantine.
struct QuarantineOptions
{
  /// How long a fingerprint stays quarantined; also the upper limit for entries from
  /// peers.
  Duration mQuarantinePeriod = std::chrono::minutes(10);
  std::size_t mMaxFingerprints = 10'000;
};

/// @brief A quarantined fingerprint as peers exchange it.
struct QuarantineEntry
{
  RequestFingerprint mFingerprint;
  /// Remaining time instead of an expiry, because the clocks of VMs are not comparable.
  Duration mRemaining{};
};

/// @brief The quarantined fingerprints and their expiries. Thread-safe.
///
/// Above the limit of fingerprints, the one that expires first is removed.
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  /// @brief Quarantines @p aFingerprint for the full period; returns the entry to send to
  /// peers.
  QuarantineEntry Add(RequestFingerprint aFingerprint, TimePoint aNow);
  /// @brief Adds an entry received from a peer. The later expiry takes precedence.
  void AddFromPeer(const QuarantineEntry& aEntry, TimePoint aNow);
  /// @brief The refusal (Quarantined, `not-run`) if @p aFingerprint is quarantined.
  std::optional<ExecutionAnswer> Check(RequestFingerprint aFingerprint,
                                       TimePoint aNow) const;
  /// @brief Removes expired fingerprints; returns their number.
  std::size_t Sweep(TimePoint aNow);
  /// @brief The entries that have not expired, for peers and for the operator port.
  std::vector<QuarantineEntry> ActiveEntries(TimePoint aNow) const;
  /// @brief Number of fingerprints, including expired ones that Sweep() has yet to
  /// remove.
  std::size_t Count() const;

private:
  void Insert(RequestFingerprint aFingerprint, TimePoint aExpiry);

  QuarantineOptions mOptions;
  /// Guards the members below.
  mutable std::mutex mMutex;
  std::map<RequestFingerprint, TimePoint> mExpiries;
  /// Invariant: holds (expiry, fingerprint) for each element of mExpiries.
  std::set<std::pair<TimePoint, RequestFingerprint>> mByExpiry;
};

} // namespace wasabispar
