/// @file
/// @brief The platform's store: items, history, watches and its return from an older
/// copy.
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <condition_variable>
#include <map>
#include <string>
#include <vector>

namespace review {

inline std::string
ToBase64(const std::string& aText)
{
  constexpr auto kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte = i + k < aText.size() ? aText[i + k] : '\0';
      bits = bits << 8 | static_cast<unsigned char>(byte);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool isPadding = i + k > aText.size();
      encoded += isPadding ? '=' : kDigits[bits >> (18 - 6 * k) & 63];
    }
  }
  return encoded;
}

/// @brief Follows PROTOCOL.md, "The platform's metadata store". Thread-safe.
class Store
{
public:
  using Revision = std::int64_t;

  struct Item
  {
    std::string mValue;
    Revision mRevision = 0;
  };
  struct Event
  {
    std::string mKey;
    Revision mRevision = 0;
    /// Empty for a removal.
    std::optional<std::string> mValue;
  };
  /// @brief What the store holds at one moment.
  struct Copy
  {
    Revision mRevision = 100;
    std::map<std::string, Item> mItems;
    std::vector<Event> mHistory;
  };

  explicit Store(Record& aRecord)
    : mRecord(aRecord)
    , mServer({ "127.0.0.1", 0 },
              [this](const Request& aRequest) { return Handle(aRequest); })
  {
  }

  const Address& Where() const { return mServer.Where(); }

  /// @brief Writes an item. The return is the store's acknowledgement.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    auto& state = mState;
    state.mItems[aKey] = { aValue, ++state.mRevision };
    state.mHistory.push_back({ aKey, state.mRevision, aValue });
    mRecord.Line("store: written " + aKey + " at revision " +
                 std::to_string(state.mRevision) + ": " + aValue.substr(0, 150));
    mChanged.notify_all();
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    mState.mItems.erase(aKey);
    mState.mHistory.push_back({ aKey, ++mState.mRevision, {} });
    mRecord.Line("store: removed " + aKey + " at revision " +
                 std::to_string(mState.mRevision));
    mChanged.notify_all();
  }
  Copy CopyNow()
  {
    const std::lock_guard lock(mMutex);
    mRecord.Line("store: copied at revision " + std::to_string(mState.mRevision));
    return mState;
  }
  void GoAway()
  {
    mRecord.Line("store: away");
    {
      const std::lock_guard lock(mMutex);
      mIsAway = true;
      mChanged.notify_all();
    }
    mServer.Stop();
  }
  /// @brief Comes back with an older copy and the next era.
  void ComeBackFrom(const Copy& aCopy)
  {
    {
      const std::lock_guard lock(mMutex);
      mState = aCopy;
      mIsAway = false;
      ++mEra;
      mRecord.Line("store: back from the copy at revision " +
                   std::to_string(mState.mRevision) + ", Store-Era " +
                   std::to_string(mEra));
    }
    mServer.Start();
  }

private:
  Response Handle(const Request& aRequest)
  {
    if (aRequest.Path() == "/api/kv-range") {
      return Range(aRequest);
    }
    if (aRequest.Path() == "/api/kv-watch") {
      return Watch(aRequest);
    }
    if (aRequest.Path() == "/api/kv-key") {
      return Key(aRequest);
    }
    return Answer(404, "{}");
  }

  Response Answer(unsigned aStatus, std::string aBody) const
  {
    Response response;
    response.mStatus = aStatus;
    response.mHeaders["Content-Type"] = "application/json";
    response.mHeaders["Store-Era"] = std::to_string(mEra);
    response.mBody = std::move(aBody);
    return response;
  }

  static std::string ToJson(const std::string& aKey, const Item& aItem)
  {
    return R"({"key":")" + aKey + R"(","value":")" + ToBase64(aItem.mValue) +
           R"(","revision":)" + std::to_string(aItem.mRevision) + R"(,"created_rev":)" +
           std::to_string(aItem.mRevision) + R"(,"lease_id":0})";
  }

  Response Range(const Request& aRequest)
  {
    const std::lock_guard lock(mMutex);
    const auto prefix = aRequest.Query("path_prefix");
    std::string items;
    for (const auto& [key, item] : mState.mItems) {
      if (key.rfind(prefix, 0) == 0) {
        items += (items.empty() ? "" : ",") + ToJson(key, item);
      }
    }
    mRecord.Line("store: read of all items at revision " +
                 std::to_string(mState.mRevision));
    return Answer(200, R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
                         std::to_string(mState.mRevision) + "}");
  }

  Response Key(const Request& aRequest)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mState.mItems.find(aRequest.Query("key"));
    return found == mState.mItems.end()
             ? Answer(404, "{}")
             : Answer(200, ToJson(found->first, found->second));
  }

  Response Watch(const Request& aRequest)
  {
    std::unique_lock lock(mMutex);
    const Revision after = std::stoll(aRequest.Query("after"));
    const auto wait = Milliseconds(std::stoll(aRequest.Query("wait_ms")));
    if (after > mState.mRevision) {
      mRecord.Line("store: watch after " + std::to_string(after) + " answered 410");
      return Answer(410, "{}");
    }
    const auto era = mEra;
    mChanged.wait_for(lock, wait,
                      [&] { return mIsAway || mEra != era || mState.mRevision > after; });
    if (mIsAway || mEra != era) {
      Response dropped;
      dropped.mIsDropped = true;
      return dropped;
    }
    std::string events;
    std::string keys;
    for (const auto& event : mState.mHistory) {
      if (event.mRevision > after) {
        events += events.empty() ? "" : ",";
        keys += " " + event.mKey;
        events += event.mValue
                    ? ToJson(event.mKey, { *event.mValue, event.mRevision })
                    : R"({"key":")" + event.mKey + R"(","revision":)" +
                        std::to_string(event.mRevision) + R"(,"compacted":true})";
      }
    }
    if (!keys.empty()) {
      mRecord.Line("store: watch after " + std::to_string(after) + " answered at " +
                   std::to_string(mState.mRevision) + " with" + keys);
    }
    return Answer(200, R"({"events":[)" + events + R"(],"at":)" +
                         std::to_string(mState.mRevision) + "}");
  }

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  Copy mState;
  bool mIsAway = false;
  int mEra = 1;
  HttpServer mServer;
};

} // namespace review
