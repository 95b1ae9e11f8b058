/// @file
/// @brief ConfigService.
#include "wasabispar/app/config_service.hpp"

#include "wasabispar/base/hash.hpp"
#include "wasabispar/base/log.hpp"

#include <algorithm>
#include <set>

namespace wasabispar {

namespace {

const std::string kProfilePrefix = "profiles/";
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
/// VMs of a data centre that read the platform's list; the others ask them.
constexpr std::size_t kInventoryReaders = 2;
/// A VM whose list is older reads it itself, spread over this time, so that a data
/// centre whose readers are cut off from the platform does not stay without a list.
constexpr Duration kOwnReadPeriod = std::chrono::seconds(60);
/// Spreads the first reads of VMs that start together.
constexpr std::uint64_t kFirstReadSpreadMs = 200;

ConfigSyncOptions
Options(const Settings& aSettings)
{
  ConfigSyncOptions options;
  options.mStartWait = std::chrono::milliseconds(aSettings.mStartWaitMs);
  options.mStartPeerWait =
    std::min<Duration>(options.mStartPeerWait, options.mStartWait / 2);
  return options;
}

std::vector<CatalogueItem>
ItemsOf(const PlatformValues& aValues)
{
  std::vector<CatalogueItem> items;
  for (const auto& item : aValues.mItems) {
    if (item.mKey.starts_with(kProfilePrefix)) {
      items.push_back({ ProfileName(item.mKey.substr(kProfilePrefix.size())),
                        item.mRevision, item.mDeleted, item.mValue });
    }
  }
  return items;
}

std::optional<PlatformInventory>
ParseInventory(const std::string& aBody)
{
  return HandleError(
    [&]() -> Result<std::optional<PlatformInventory>> {
      BOOST_LEAF_AUTO(inventory, ParsePlatformInventory(aBody, "platform"));
      return std::optional<PlatformInventory>(std::move(inventory));
    },
    [](const Error& aError) {
      LogEvent(LogLevel::Warning, "inventory-refused", { { "cause", aError.mCause } });
      return std::optional<PlatformInventory>();
    });
}

} // namespace

ConfigService::ConfigService(AppContext& aContext, FleetLink& aLink,
                             ConfigServiceHooks aHooks)
  : mContext(aContext)
  , mLink(aLink)
  , mHooks(std::move(aHooks))
  , mPlatform(aContext.mWorkers.At(0).Context(), aContext.mSettings.mPlatform)
  , mSync(aContext.mSettings.mVm, mCatalogue, SeededRandom(EntropySeed()),
          Options(aContext.mSettings))
  , mRandom(SeededRandom(EntropySeed()))
{
}

ConfigService::~ConfigService() = default;

void
ConfigService::Start()
{
  mNextInventoryAt =
    mContext.mNow() + std::chrono::milliseconds(mRandom(kFirstReadSpreadMs));
  mTick = mContext.mWorkers.At(0).Timers().Every(kTickPeriod, [this] { Tick(); });
}

void
ConfigService::Stop()
{
  mTick.Cancel();
}

void
ConfigService::Tick()
{
  const auto now = mContext.mNow();
  UpdateInventory();
  // Without a list there may be peers that hold a newer configuration; ConfigSync bounds
  // the wait for them.
  if (!mIsSyncStarted && HasInventory()) {
    mIsSyncStarted = true;
    Run(mSync.Start(mPeers, now));
  }
  if (mIsSyncStarted) {
    Run(mSync.Tick(now));
  }
  mIsWatcher = mSync.IsWatcher();
  if (const auto age = mSync.PlatformAge(now)) {
    mContactAt = (now - *age).time_since_epoch().count();
  }
}

void
ConfigService::OnView(const MemberView& aView, bool aIsBridge,
                      std::vector<VmId> aRemoteBridges)
{
  ConfigPeers peers;
  peers.mDataCentre = aView.mLocalLive;
  peers.mRemoteBridges = std::move(aRemoteBridges);
  peers.mIsBridge = aIsBridge;
  std::set<DataCentreId> dataCentres;
  mOthers.clear();
  for (const auto& [vm, member] : aView.mMembers) {
    dataCentres.insert(member.mIdentity.mDataCentre);
    if (member.mState != MemberState::Dead && vm != mContext.mSettings.mVm) {
      mOthers.push_back(vm);
    }
  }
  std::erase_if(mRevisions,
                [&](const auto& aEntry) { return !aView.Find(aEntry.first); });
  peers.mDataCentres = std::max<std::size_t>(1, dataCentres.size());
  peers.mFleetSize = std::max<std::size_t>(1, aView.mMembers.size());
  mPeers = std::move(peers);
  if (mIsSyncStarted) {
    Run(mSync.OnPeers(mPeers, mContext.mNow()));
  }
}

bool
ConfigService::OnMessage(const FleetEnvelope& aEnvelope)
{
  const auto now = mContext.mNow();
  const auto& from = aEnvelope.mSender;
  if (const auto* digest = std::get_if<CatalogueDigestMessage>(&aEnvelope.mMessage)) {
    mRevisions[from] = { digest->mDigest.mRevision, now };
    Run(mSync.OnMessage(from, *digest, now));
  } else if (const auto* pull = std::get_if<CataloguePullMessage>(&aEnvelope.mMessage)) {
    Run(mSync.OnMessage(from, *pull, now));
  } else if (const auto* delta =
               std::get_if<CatalogueDeltaMessage>(&aEnvelope.mMessage)) {
    Run(mSync.OnMessage(from, *delta, now));
  } else if (const auto* ask = std::get_if<InventoryPullMessage>(&aEnvelope.mMessage)) {
    OnInventoryPull(from, *ask);
  } else if (const auto* reply =
               std::get_if<InventoryReplyMessage>(&aEnvelope.mMessage)) {
    OnInventoryReply(*reply);
  } else {
    return false;
  }
  return true;
}

void
ConfigService::Run(const ConfigActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* read = std::get_if<PlatformRead>(&action)) {
      CallPlatform(read->mCall, Revision(), Duration{}, false);
    } else if (const auto* watch = std::get_if<PlatformWatch>(&action)) {
      CallPlatform(watch->mCall, watch->mAfter, watch->mTimeout, true);
    } else if (const auto* send = std::get_if<SendConfigMessage>(&action)) {
      mLink.Send(send->mTo,
                 std::visit([](const auto& aPart) { return FleetMessage(aPart); },
                            send->mMessage));
    } else if (const auto* complete = std::get_if<StartComplete>(&action)) {
      mStartSource = static_cast<int>(complete->mSource);
      mIsStarted = true;
      LogEvent(LogLevel::Info, "configuration-started",
               { { "source", ToText(complete->mSource) },
                 { "revision", complete->mRevision.Value() } });
    } else if (const auto* changed = std::get_if<CatalogueChanged>(&action)) {
      LogChange(*changed);
    }
  }
}

void
ConfigService::CallPlatform(PlatformCallId aCall, Revision aAfter, Duration aTimeout,
                            bool aWatch)
{
  auto done = [this, aCall, aAfter, aWatch](const std::optional<PlatformValues>& aValues,
                                            const Error& aError) {
    const auto now = mContext.mNow();
    if (!aValues) {
      LogEvent(LogLevel::Warning, "platform-call-failed", { { "cause", aError.mCause } });
      Run(mSync.OnPlatformError(aCall, now));
      return;
    }
    auto items = ItemsOf(*aValues);
    Run(mSync.OnPlatformReply(
      aCall,
      aWatch ? PlatformChanges(aAfter, aValues->mRevision, std::move(items))
             : PlatformList(aValues->mRevision, std::move(items)),
      now));
  };
  if (aWatch) {
    mPlatform.WatchValues(kProfilePrefix, aAfter, aTimeout, std::move(done));
  } else {
    mPlatform.ReadValues(kProfilePrefix, std::move(done));
  }
}

void
ConfigService::LogChange(const CatalogueChanged& aChange)
{
  for (const auto& name : aChange.mResult.mChanged) {
    LogEvent(
      LogLevel::Info, "profile-changed",
      { { "profile", name.Text() }, { "revision", aChange.mResult.mAfter.Value() } });
  }
  for (const auto& rejected : aChange.mResult.mRejected) {
    LogEvent(LogLevel::Warning, "profile-rejected",
             { { "profile", rejected.mName.Text() },
               { "revision", rejected.mRevision.Value() },
               { "cause", rejected.mCause } });
  }
}

void
ConfigService::AskRevisions()
{
  CatalogueDigestMessage digest;
  digest.mStarted = mIsStarted;
  digest.mDigest = mCatalogue.Digest();
  for (const auto& vm : mOthers) {
    mLink.Send(vm, digest);
  }
}

std::string
ConfigService::StartedBy() const
{
  const int source = mStartSource;
  return source < 0 ? std::string()
                    : std::string(ToText(static_cast<StartSource>(source)));
}

std::optional<Duration>
ConfigService::PlatformAge() const
{
  const std::int64_t contact = mContactAt;
  if (contact == 0) {
    return std::nullopt;
  }
  return mContext.mNow() - TimePoint(Duration(contact));
}

bool
ConfigService::ReadsInventory() const
{
  const auto readers = RendezvousTop("inventory", mPeers.mDataCentre, kInventoryReaders);
  return std::find(readers.begin(), readers.end(), mContext.mSettings.mVm) !=
         readers.end();
}

void
ConfigService::UpdateInventory()
{
  const auto now = mContext.mNow();
  if (now < mNextInventoryAt || mIsReadingInventory) {
    return;
  }
  mNextInventoryAt = now + std::chrono::milliseconds(mContext.mSettings.mListPollMs);
  std::vector<VmId> others = mPeers.mDataCentre;
  std::erase(others, mContext.mSettings.mVm);
  const bool isOld = now - std::max(mInventoryAt, mLastOwnRead) > kOwnReadPeriod;
  if (!HasInventory() || others.empty() || ReadsInventory()) {
    ReadInventory();
    return;
  }
  auto readers = RendezvousTop("inventory", mPeers.mDataCentre, kInventoryReaders);
  mLink.Send(readers[mRandom(readers.size())], InventoryPullMessage{ mInventoryHash });
  if (isOld) {
    ReadInventory();
  }
}

void
ConfigService::ReadInventory()
{
  mIsReadingInventory = true;
  const auto asked = mContext.mNow();
  mLastOwnRead = asked;
  mPlatform.ReadInventory([this, asked](const std::optional<std::string>& aBody,
                                        const Error& aError) {
    mIsReadingInventory = false;
    if (!aBody) {
      LogEvent(LogLevel::Warning, "platform-call-failed", { { "cause", aError.mCause } });
      return;
    }
    OnInventoryBody(*aBody, asked);
  });
}

void
ConfigService::OnInventoryBody(const std::string& aBody, TimePoint aAt)
{
  if (HasInventory() && aAt <= mInventoryAt) {
    return;
  }
  const auto inventory = ParseInventory(aBody);
  if (!inventory) {
    return;
  }
  mInventoryAt = aAt;
  mInventoryHash = std::max<std::uint64_t>(1, HashText(aBody));
  mInventoryBody = aBody;
  mHooks.mOnInventory(*inventory);
}

void
ConfigService::OnInventoryPull(const VmId& aFrom, const InventoryPullMessage& aPull)
{
  if (!HasInventory()) {
    return;
  }
  const auto age = mContext.mNow() - mInventoryAt;
  InventoryReplyMessage reply;
  reply.mHash = mInventoryHash;
  reply.mAgeMs = static_cast<std::uint32_t>(
    std::min<std::int64_t>(ToMilliseconds(age) + 1, UINT32_MAX));
  if (aPull.mCurrentHash != reply.mHash) {
    reply.mBody = mInventoryBody;
  }
  mLink.Send(aFrom, std::move(reply));
}

void
ConfigService::OnInventoryReply(const InventoryReplyMessage& aReply)
{
  const auto at = mContext.mNow() - std::chrono::milliseconds(aReply.mAgeMs);
  if (aReply.mBody.empty()) {
    if (aReply.mHash == mInventoryHash && at > mInventoryAt) {
      mInventoryAt = at;
      // The same list again tells Membership that it is still current.
      if (const auto inventory = ParseInventory(mInventoryBody)) {
        mHooks.mOnInventory(*inventory);
      }
    }
    return;
  }
  OnInventoryBody(aReply.mBody, at);
}

} // namespace wasabispar
