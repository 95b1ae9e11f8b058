/// @file
/// @brief FleetService.
#include "wasabispar/app/fleet_service.hpp"

#include "wasabispar/base/log.hpp"

namespace wasabispar {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);

/// Also the threshold of Membership: a shorter gap cannot make a peer suspect.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/// The IP number in `tcp://ip:port`.
std::string_view
IpOf(std::string_view aAddress)
{
  constexpr std::string_view kScheme = "tcp://";
  if (aAddress.starts_with(kScheme)) {
    aAddress.remove_prefix(kScheme.size());
  }
  return aAddress.substr(0, aAddress.rfind(':'));
}

MembershipOptions
Options(const Settings& aSettings)
{
  MembershipOptions options;
  options.mProbePeriod = std::chrono::milliseconds(aSettings.mProbePeriodMs);
  return options;
}

std::vector<GossipEntry>
FactsOf(const SwimMessage& aMessage)
{
  if (const auto* ping = std::get_if<PingMessage>(&aMessage)) {
    return ping->mGossip;
  }
  if (const auto* ack = std::get_if<AckMessage>(&aMessage)) {
    return ack->mGossip;
  }
  return {};
}

FleetMessage
ToFleetMessage(const SwimMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return FleetMessage(aPart); }, aMessage);
}

} // namespace

FleetService::FleetService(AppContext& aContext, FleetLink& aLink,
                           FleetServiceHooks aHooks)
  : mContext(aContext)
  , mLink(aLink)
  , mHooks(std::move(aHooks))
  , mGossip(aContext.mSettings.mVm, {}, SeededRandom(EntropySeed()))
{
}

FleetService::~FleetService() = default;

void
FleetService::Start()
{
  const auto& settings = mContext.mSettings;
  mMembership = std::make_unique<Membership>(
    VmIdentity{ settings.mVm, mContext.mIncarnation, mLink.Address(),
                settings.mDataCentre, settings.mRegion },
    Options(settings), SeededRandom(EntropySeed()), mContext.mNow());
  auto& timers = mContext.mWorkers.At(0).Timers();
  mTick = timers.Every(kTickPeriod, [this] {
    Run(mMembership->Tick(mContext.mNow()));
    Run(mGossip.Tick(mContext.mNow()));
  });
  mPause = timers.OnPause(kPauseThreshold, [this](Duration aGap) {
    LogEvent(LogLevel::Warning, "process-paused",
             { { "gap_ms", static_cast<std::uint64_t>(ToMilliseconds(aGap)) } });
    mHooks.mOnPause(aGap);
    Run(mMembership->OnPause(aGap, mContext.mNow()));
  });
}

void
FleetService::Stop()
{
  mTick.Cancel();
  mPause.Cancel();
}

void
FleetService::Leave()
{
  Run(mMembership->Leave(mContext.mNow()));
}

bool
FleetService::OnMessage(const FleetEnvelope& aEnvelope)
{
  if (const auto* ping = std::get_if<PingMessage>(&aEnvelope.mMessage)) {
    OnSwim(aEnvelope, *ping);
  } else if (const auto* ack = std::get_if<AckMessage>(&aEnvelope.mMessage)) {
    OnSwim(aEnvelope, *ack);
  } else if (const auto* request = std::get_if<PingRequestMessage>(&aEnvelope.mMessage)) {
    OnSwim(aEnvelope, *request);
  } else if (const auto* push = std::get_if<GossipPushMessage>(&aEnvelope.mMessage)) {
    Run(mGossip.OnGossip(aEnvelope.mSender, push->mGossip, mContext.mNow()));
  } else {
    return false;
  }
  return true;
}

void
FleetService::OnSwim(const FleetEnvelope& aEnvelope, const SwimMessage& aMessage)
{
  const auto now = mContext.mNow();
  auto actions =
    mMembership->OnMessage(aEnvelope.mSender, aEnvelope.mIncarnation, aMessage, now);
  // A new sender must be a peer before its facts are taken.
  OnViewChanged();
  const auto facts = FactsOf(aMessage);
  if (!facts.empty()) {
    Run(mGossip.OnGossip(aEnvelope.mSender, facts, now));
  }
  for (auto& send : actions.mOutgoing) {
    if (std::holds_alternative<AckMessage>(send.mMessage)) {
      AttachGossipToReply(send.mMessage, aMessage, mGossip, now);
    }
  }
  Run(std::move(actions));
}

void
FleetService::OnInventory(const PlatformInventory& aInventory)
{
  std::vector<ListedVm> listed;
  for (const auto& vm : aInventory.mVms) {
    listed.push_back({ VmIdentity{ vm.mVm, Incarnation(), "tcp://" + vm.mFleet.Text(),
                                   vm.mDataCentre, vm.mRegion },
                       vm.mLeaving ? ListedState::Leaving : ListedState::Live });
  }
  Run(mMembership->OnPlatformList(listed, mContext.mNow()));
}

void
FleetService::Run(MembershipActions aActions)
{
  const auto now = mContext.mNow();
  for (auto& send : aActions.mOutgoing) {
    if (std::holds_alternative<PingMessage>(send.mMessage)) {
      AttachGossip(send.mMessage, mGossip, now);
    }
    mLink.SendTo(send.mAddress, ToFleetMessage(send.mMessage));
  }
  for (const auto& change : aActions.mChanges) {
    LogChange(change);
  }
  OnViewChanged();
  if (aActions.mIsSuperseded) {
    mHooks.mOnSuperseded();
  }
}

void
FleetService::OnViewChanged()
{
  const auto view = mMembership->View();
  if (view->mEpoch == mSeenEpoch) {
    return;
  }
  mSeenEpoch = view->mEpoch;
  std::vector<GossipPeer> peers;
  for (const auto& vm : view->mLocalQuotaHolders) {
    if (vm != mContext.mSettings.mVm) {
      peers.push_back({ vm, view->Find(vm)->mIdentity.mAddress });
    }
  }
  mGossip.SetPeers(std::move(peers), view->LocalDead());
  mHooks.mOnView(*view);
}

void
FleetService::Run(GossipActions aActions)
{
  for (auto& send : aActions.mOutgoing) {
    mLink.SendTo(send.mAddress, std::move(send.mMessage));
  }
  for (const auto& fact : aActions.mChanged) {
    mHooks.mOnFact(fact);
  }
}

void
FleetService::LogChange(const MemberChange& aChange)
{
  const auto& member = aChange.mMember;
  LogEvent(
    LogLevel::Info, "member-changed",
    { { "vm", member.mIdentity.mVm.Text() },
      { "before", aChange.mPreviousState ? ToText(*aChange.mPreviousState) : "unknown" },
      { "after", ToText(member.mState) },
      { "replaced", aChange.mIsReplaced ? "yes" : "no" } });
  if (member.mState == MemberState::Dead) {
    mLink.RemovePeer(member.mIdentity.mAddress);
  }
}

void
FleetService::Publish(std::string aKey, std::string aValue, Duration aTtl)
{
  mContext.mWorkers.At(0).Dispatch(
    [this, key = std::move(aKey), value = std::move(aValue), aTtl]() mutable {
      Run(mGossip.Publish(std::move(key), UnixMilliseconds(), std::move(value), aTtl,
                          mContext.mNow()));
    });
}

IssuerState
FleetService::StateOf(const TicketIssuer& aIssuer) const
{
  const auto view = mMembership->View();
  const auto* member = view->Find(aIssuer.mVm);
  if (!member || member->mState == MemberState::Unconfirmed) {
    return IssuerState::Unreachable;
  }
  if (member->mIdentity.mIncarnation != aIssuer.mIncarnation) {
    return member->mIdentity.mIncarnation > aIssuer.mIncarnation
             ? IssuerState::Replaced
             : IssuerState::Unreachable;
  }
  return member->mState == MemberState::Dead ? IssuerState::Dead : IssuerState::Alive;
}

std::string
FleetService::AddressOf(const VmId& aVm) const
{
  const auto view = mMembership->View();
  const auto* member = view->Find(aVm);
  return member ? member->mIdentity.mAddress : std::string();
}

bool
FleetService::Accepts(const VmId& aVm, Incarnation aIncarnation,
                      std::string_view aIp) const
{
  if (!mMembership || !mMembership->Accepts(aVm, aIncarnation)) {
    return false;
  }
  const auto address = AddressOf(aVm);
  return address.empty() || IpOf(address) == aIp;
}

std::shared_ptr<const MemberView>
FleetService::View() const
{
  if (!mMembership) {
    static const auto kEmpty = std::make_shared<const MemberView>();
    return kEmpty;
  }
  return mMembership->View();
}

} // namespace wasabispar
