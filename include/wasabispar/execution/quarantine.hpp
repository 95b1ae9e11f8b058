/// @file
/// @brief The set of quarantined requests: those that crash the upstreams that run them.
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

struct QuarantineOptions
{
  /// How long a fingerprint stays quarantined; also the longest time that a fact from a
  /// peer is believed.
  Duration mQuarantinePeriod = std::chrono::minutes(10);
  std::size_t mMaxFingerprints = 10'000;
};

/// @brief A quarantined fingerprint as peers exchange it.
struct QuarantineEntry
{
  RequestFingerprint mFingerprint;
  /// Time that remains, because clocks of VMs are not comparable.
  Duration mRemaining{};
};

/// @brief Quarantined fingerprints with expiry. Thread-safe.
///
/// At its limit it drops the fingerprint that expires first.
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  /// @brief Quarantines @p aFingerprint for the full period; returns the fact to
  /// disseminate.
  QuarantineEntry Add(RequestFingerprint aFingerprint, TimePoint aNow);
  /// @brief Takes over a fact from a peer. The later expiry wins.
  void AddFromPeer(const QuarantineEntry& aEntry, TimePoint aNow);
  /// @brief The refusal (Quarantined, `not-run`) when @p aFingerprint is quarantined.
  std::optional<ExecutionAnswer> Check(RequestFingerprint aFingerprint,
                                       TimePoint aNow) const;
  /// @brief Drops what has expired; returns the number dropped.
  std::size_t Sweep(TimePoint aNow);
  /// @brief What is quarantined, for dissemination and the operator port.
  std::vector<QuarantineEntry> ActiveEntries(TimePoint aNow) const;
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
