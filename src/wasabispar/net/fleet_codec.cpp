/// @file
/// @brief Conversion between the structs of fleet_messages.hpp and protobuf.
#include "wasabispar/net/fleet_codec.hpp"

#include "wasabispar/net/generated/fleet.pb.h"

#include <utility>

namespace wasabispar {

namespace {

/// Maximum size of an id, address or other name.
constexpr std::size_t kMaxNameBytes = 512;

/// Thrown if a field has a value that is not allowed; caught by DecodeFleet().
struct InvalidContent
{
  const char* mCause;
};

void
Require(bool aCondition, const char* aCause)
{
  if (!aCondition) {
    throw InvalidContent{ aCause };
  }
}

/// Returns @p aText; throws if it is longer than a name may be.
const std::string&
CheckedName(const std::string& aText)
{
  Require(aText.size() <= kMaxNameBytes, "name too long");
  return aText;
}

/// Returns @p aText; throws if it is empty or longer than a name may be.
const std::string&
NonEmptyName(const std::string& aText)
{
  Require(!aText.empty(), "empty name");
  return CheckedName(aText);
}

wire::MemberState
ToWire(MemberState aState)
{
  switch (aState) {
    case MemberState::Unconfirmed:
      return wire::UNCONFIRMED;
    case MemberState::Alive:
      return wire::ALIVE;
    case MemberState::Leaving:
      return wire::LEAVING;
    case MemberState::Suspect:
      return wire::SUSPECT;
    case MemberState::Dead:
      return wire::DEAD;
  }
  return wire::UNCONFIRMED;
}

MemberState
FromWire(wire::MemberState aState)
{
  switch (aState) {
    case wire::UNCONFIRMED:
      return MemberState::Unconfirmed;
    case wire::ALIVE:
      return MemberState::Alive;
    case wire::LEAVING:
      return MemberState::Leaving;
    case wire::SUSPECT:
      return MemberState::Suspect;
    case wire::DEAD:
      return MemberState::Dead;
    default:
      throw InvalidContent{ "unknown member state" };
  }
}

/// Maximum size of a ticket's text.
constexpr std::size_t kMaxTicketBytes = 1024;

HttpExchangeEnd
ExchangeEndFromWire(std::uint32_t aEnd)
{
  Require(aEnd <= static_cast<std::uint32_t>(HttpExchangeEnd::Cancelled),
          "unknown end of an exchange");
  return static_cast<HttpExchangeEnd>(aEnd);
}

std::optional<Duration>
AgeFromWire(bool aIsSet, std::uint64_t aAgeMs)
{
  // The limit prevents an overflow of the conversion; a day exceeds every bound that an
  // age is compared with.
  constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;
  return aIsSet ? std::optional<Duration>(
                    std::chrono::milliseconds(std::min(aAgeMs, kMaxAgeMs)))
                : std::nullopt;
}

/// Rounds up, so that the receiver does not underestimate the age.
std::uint64_t
AgeToWire(Duration aAge)
{
  return static_cast<std::uint64_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aAge).count());
}

void
Encode(const MemberUpdate& aUpdate, wire::MemberUpdate& aWire)
{
  aWire.set_vm(aUpdate.mIdentity.mVm.Text());
  aWire.set_incarnation(aUpdate.mIdentity.mIncarnation.Value());
  aWire.set_address(aUpdate.mIdentity.mAddress);
  aWire.set_data_centre(aUpdate.mIdentity.mDataCentre.Text());
  aWire.set_region(aUpdate.mIdentity.mRegion.Text());
  aWire.set_state(ToWire(aUpdate.mState));
  aWire.set_state_version(aUpdate.mStateVersion);
}

MemberUpdate
Decode(const wire::MemberUpdate& aWire)
{
  MemberUpdate update;
  update.mIdentity.mVm = VmId(NonEmptyName(aWire.vm()));
  update.mIdentity.mIncarnation = Incarnation(aWire.incarnation());
  update.mIdentity.mAddress = CheckedName(aWire.address());
  update.mIdentity.mDataCentre = DataCentreId(NonEmptyName(aWire.data_centre()));
  update.mIdentity.mRegion = RegionId(CheckedName(aWire.region()));
  update.mState = FromWire(aWire.state());
  update.mStateVersion = aWire.state_version();
  return update;
}

void
Encode(const MemberUpdate& aSelf, wire::SelfUpdate& aWire)
{
  aWire.set_address(aSelf.mIdentity.mAddress);
  aWire.set_region(aSelf.mIdentity.mRegion.Text());
  aWire.set_state(ToWire(aSelf.mState));
  aWire.set_state_version(aSelf.mStateVersion);
}

MemberUpdate
Decode(const wire::SelfUpdate& aWire, const FleetEnvelope& aEnvelope)
{
  MemberUpdate update;
  update.mIdentity.mVm = aEnvelope.mSender;
  update.mIdentity.mIncarnation = aEnvelope.mIncarnation;
  update.mIdentity.mDataCentre = aEnvelope.mDataCentre;
  update.mIdentity.mAddress = NonEmptyName(aWire.address());
  update.mIdentity.mRegion = RegionId(CheckedName(aWire.region()));
  update.mState = FromWire(aWire.state());
  update.mStateVersion = aWire.state_version();
  return update;
}

void
Encode(const GossipEntry& aEntry, wire::Fact& aWire)
{
  aWire.set_key(aEntry.mKey);
  aWire.set_version(aEntry.mVersion);
  aWire.set_value(aEntry.mValue);
  aWire.set_origin(aEntry.mOrigin.Text());
  aWire.set_ttl_ms(aEntry.mTtlMs);
}

GossipEntry
Decode(const wire::Fact& aWire)
{
  return { NonEmptyName(aWire.key()), aWire.version(), aWire.value(),
           VmId(NonEmptyName(aWire.origin())), aWire.ttl_ms() };
}

void
Encode(const DataCentreDigest& aDigest, wire::DataCentreDigest& aWire)
{
  aWire.set_data_centre(aDigest.mDataCentre.Text());
  aWire.set_digest(aDigest.mDigest);
}

DataCentreDigest
Decode(const wire::DataCentreDigest& aWire)
{
  return { DataCentreId(NonEmptyName(aWire.data_centre())), aWire.digest() };
}

void
Encode(const ContactAge& aAge, wire::ContactAge& aWire)
{
  aWire.set_data_centre(aAge.mDataCentre.Text());
  aWire.set_age_ms(aAge.mAgeMs);
}

ContactAge
Decode(const wire::ContactAge& aWire)
{
  return { DataCentreId(NonEmptyName(aWire.data_centre())), aWire.age_ms() };
}

void
Encode(const CatalogueItem& aItem, wire::CatalogueItem& aWire)
{
  aWire.set_name(aItem.mName.Text());
  aWire.set_revision(aItem.mRevision.Value());
  aWire.set_deleted(aItem.mDeleted);
  aWire.set_document(aItem.mDocument);
}

CatalogueItem
Decode(const wire::CatalogueItem& aWire)
{
  return { ProfileName(NonEmptyName(aWire.name())), Revision(aWire.revision()),
           aWire.deleted(), aWire.document() };
}

void
Encode(const ForwardSearchMessage::Sub& aSub, wire::SubRequest& aWire)
{
  aWire.set_sub_id(aSub.mSubId);
  aWire.set_index(aSub.mIndex.Text());
  aWire.set_version(aSub.mVersion.Value());
  aWire.set_shard(aSub.mShard.Text());
  aWire.set_upstream(aSub.mUpstream.Text());
  aWire.set_caller(aSub.mCaller.Text());
  aWire.set_profile(aSub.mProfile.Text());
  aWire.set_query(aSub.mQuery);
  aWire.set_deadline_ms(aSub.mDeadlineMs);
  aWire.set_request_id(aSub.mRequestId);
  aWire.set_wants_state(aSub.mRequestsState);
  aWire.set_fingerprint(aSub.mFingerprint.Value());
  aWire.set_isolated(aSub.mIsIsolated);
}

ForwardSearchMessage::Sub
Decode(const wire::SubRequest& aWire)
{
  return { aWire.sub_id(),
           IndexName(CheckedName(aWire.index())),
           SnapshotVersion(aWire.version()),
           ShardId(CheckedName(aWire.shard())),
           UpstreamId(NonEmptyName(aWire.upstream())),
           CallerId(CheckedName(aWire.caller())),
           ProfileName(CheckedName(aWire.profile())),
           aWire.query(),
           aWire.deadline_ms(),
           CheckedName(aWire.request_id()),
           aWire.wants_state(),
           RequestFingerprint(aWire.fingerprint()),
           aWire.isolated() };
}

void
Encode(const ForwardSearchReplyMessage::Sub& aSub, wire::SubReply& aWire)
{
  aWire.set_sub_id(aSub.mSubId);
  aWire.set_end(static_cast<std::uint32_t>(aSub.mEnd));
  aWire.set_status(aSub.mStatus);
  aWire.set_body(aSub.mBody);
  aWire.set_cause(aSub.mCause);
  aWire.set_draining(aSub.mIsDraining);
}

ForwardSearchReplyMessage::Sub
Decode(const wire::SubReply& aWire)
{
  return { aWire.sub_id(), ExchangeEndFromWire(aWire.end()), aWire.status(),
           aWire.body(),   CheckedName(aWire.cause()),       aWire.draining() };
}

template<class Plain, class Wire>
void
EncodeAll(const std::vector<Plain>& aItems, Wire* aWire)
{
  aWire->Reserve(static_cast<int>(aItems.size()));
  for (const auto& item : aItems) {
    Encode(item, *aWire->Add());
  }
}

template<class Plain, class Wire>
void
DecodeAll(const Wire& aWire, std::vector<Plain>& aItems)
{
  aItems.reserve(static_cast<std::size_t>(aWire.size()));
  for (const auto& item : aWire) {
    aItems.push_back(Decode(item));
  }
}

/// Visitor that encodes a message into its field of the envelope.
struct Encoder
{
  void operator()(const PingMessage& aPing) const
  {
    auto& out = *mWire.mutable_ping();
    out.set_sequence(aPing.mSequence);
    Encode(aPing.mSelf, *out.mutable_self());
    EncodeAll(aPing.mUpdates, out.mutable_updates());
    EncodeAll(aPing.mContacts, out.mutable_contacts());
    out.set_compares_views(aPing.mComparesViews);
    EncodeAll(aPing.mDigests, out.mutable_digests());
    out.set_fact_digest(aPing.mGossipDigest);
    EncodeAll(aPing.mGossip, out.mutable_facts());
  }

  void operator()(const AckMessage& aAck) const
  {
    auto& out = *mWire.mutable_ack();
    out.set_sequence(aAck.mSequence);
    const auto& identity = aAck.mSubject.mIdentity;
    if (identity.mVm.Text() == mWire.sender() &&
        identity.mIncarnation.Value() == mWire.incarnation()) {
      Encode(aAck.mSubject, *out.mutable_self());
    } else {
      Encode(aAck.mSubject, *out.mutable_subject());
    }
    EncodeAll(aAck.mUpdates, out.mutable_updates());
    EncodeAll(aAck.mGossip, out.mutable_facts());
  }

  void operator()(const PingRequestMessage& aRequest) const
  {
    auto& out = *mWire.mutable_ping_request();
    out.set_sequence(aRequest.mSequence);
    Encode(aRequest.mSelf, *out.mutable_self());
    Encode(aRequest.mTarget, *out.mutable_target());
    EncodeAll(aRequest.mUpdates, out.mutable_updates());
  }

  void operator()(const GossipPushMessage& aPush) const
  {
    EncodeAll(aPush.mGossip, mWire.mutable_fact_push()->mutable_facts());
  }

  void operator()(const CatalogueDeltaMessage& aMessage) const
  {
    const auto& delta = aMessage.mDelta;
    auto& out = *mWire.mutable_catalogue_delta();
    out.set_nonce(aMessage.mNonce);
    out.set_from(delta.mFrom.Value());
    out.set_to(delta.mTo.Value());
    out.set_full_list(delta.mFullList);
    out.set_deletions_from(delta.mDeletionsFrom.Value());
    out.set_part(delta.mPart);
    out.set_parts(delta.mParts);
    EncodeAll(delta.mItems, out.mutable_items());
    if (aMessage.mPlatformAge) {
      out.set_platform_age_ms(AgeToWire(*aMessage.mPlatformAge));
    }
  }

  void operator()(const CatalogueDigestMessage& aMessage) const
  {
    auto& out = *mWire.mutable_catalogue_digest();
    out.set_nonce(aMessage.mNonce);
    out.set_reply(aMessage.mReply);
    out.set_started(aMessage.mStarted);
    out.set_in_contact(aMessage.mInContact);
    out.set_revision(aMessage.mDigest.mRevision.Value());
    out.set_hash(aMessage.mDigest.mHash);
    if (aMessage.mPlatformAge) {
      out.set_platform_age_ms(AgeToWire(*aMessage.mPlatformAge));
    }
  }

  void operator()(const CataloguePullMessage& aPull) const
  {
    mWire.mutable_catalogue_pull()->set_nonce(aPull.mNonce);
    mWire.mutable_catalogue_pull()->set_since(aPull.mSince.Value());
  }

  void operator()(const InventoryPullMessage& aPull) const
  {
    mWire.mutable_inventory_pull()->set_known_hash(aPull.mCurrentHash);
  }

  void operator()(const InventoryReplyMessage& aReply) const
  {
    auto& out = *mWire.mutable_inventory_reply();
    out.set_hash(aReply.mHash);
    out.set_age_ms(aReply.mAgeMs);
    out.set_body(aReply.mBody);
  }

  void operator()(const ForwardSearchMessage& aSearch) const
  {
    EncodeAll(aSearch.mSubs, mWire.mutable_forward_search()->mutable_subs());
  }

  void operator()(const ForwardSearchReplyMessage& aReply) const
  {
    EncodeAll(aReply.mSubs, mWire.mutable_forward_search_reply()->mutable_subs());
  }

  void operator()(const ForwardCancelMessage& aCancel) const
  {
    auto& out = *mWire.mutable_forward_cancel();
    for (const auto subId : aCancel.mSubIds) {
      out.add_sub_ids(subId);
    }
  }

  void operator()(const ForwardExecutionMessage& aExecution) const
  {
    auto& out = *mWire.mutable_forward_execution();
    out.set_ticket(aExecution.mTicket);
    out.set_caller(aExecution.mCaller.Text());
    out.set_profile(aExecution.mProfile.Text());
    out.set_body(aExecution.mBody);
    out.set_deadline_ms(aExecution.mDeadlineMs);
  }

  void operator()(const ForwardExecutionReplyMessage& aReply) const
  {
    auto& out = *mWire.mutable_forward_execution_reply();
    out.set_known(aReply.mIsIssuer);
    out.set_end_condition(static_cast<std::uint32_t>(aReply.mAnswer.mEnd));
    out.set_scope(static_cast<std::uint32_t>(aReply.mAnswer.mScope));
    out.set_peer(aReply.mAnswer.mPeer);
    out.set_body(aReply.mAnswer.mBody);
  }

  wire::Envelope& mWire;
};

PingMessage
Decode(const wire::Ping& aWire, const FleetEnvelope& aEnvelope)
{
  PingMessage ping;
  ping.mSequence = aWire.sequence();
  ping.mSelf = Decode(aWire.self(), aEnvelope);
  DecodeAll(aWire.updates(), ping.mUpdates);
  DecodeAll(aWire.contacts(), ping.mContacts);
  ping.mComparesViews = aWire.compares_views();
  DecodeAll(aWire.digests(), ping.mDigests);
  ping.mGossipDigest = aWire.fact_digest();
  DecodeAll(aWire.facts(), ping.mGossip);
  return ping;
}

AckMessage
Decode(const wire::Ack& aWire, const FleetEnvelope& aEnvelope)
{
  AckMessage ack;
  ack.mSequence = aWire.sequence();
  Require(aWire.has_self() != aWire.has_subject(),
          "ack needs exactly one of self and subject");
  ack.mSubject =
    aWire.has_self() ? Decode(aWire.self(), aEnvelope) : Decode(aWire.subject());
  DecodeAll(aWire.updates(), ack.mUpdates);
  DecodeAll(aWire.facts(), ack.mGossip);
  return ack;
}

PingRequestMessage
Decode(const wire::PingRequest& aWire, const FleetEnvelope& aEnvelope)
{
  PingRequestMessage request;
  request.mSequence = aWire.sequence();
  request.mSelf = Decode(aWire.self(), aEnvelope);
  request.mTarget = Decode(aWire.target());
  DecodeAll(aWire.updates(), request.mUpdates);
  return request;
}

CatalogueDeltaMessage
Decode(const wire::CatalogueDelta& aWire)
{
  CatalogueDeltaMessage message;
  message.mNonce = aWire.nonce();
  message.mDelta.mFrom = Revision(aWire.from());
  message.mDelta.mTo = Revision(aWire.to());
  message.mDelta.mFullList = aWire.full_list();
  message.mDelta.mDeletionsFrom = Revision(aWire.deletions_from());
  message.mDelta.mPart = aWire.part();
  message.mDelta.mParts = aWire.parts();
  DecodeAll(aWire.items(), message.mDelta.mItems);
  message.mPlatformAge =
    AgeFromWire(aWire.has_platform_age_ms(), aWire.platform_age_ms());
  return message;
}

CatalogueDigestMessage
Decode(const wire::CatalogueDigest& aWire)
{
  return { aWire.nonce(),
           aWire.reply(),
           aWire.started(),
           aWire.in_contact(),
           CatalogueDigest{ Revision(aWire.revision()), aWire.hash() },
           AgeFromWire(aWire.has_platform_age_ms(), aWire.platform_age_ms()) };
}

ForwardExecutionReplyMessage
Decode(const wire::ForwardExecutionReply& aWire)
{
  const auto end = ParseEndCondition(aWire.end_condition());
  Require(end.has_value(), "unknown end condition");
  Require(aWire.scope() <= static_cast<std::uint32_t>(AnswerScope::Ticket),
          "unknown scope of an answer");
  return { aWire.known(), ExecutionAnswer{ *end, static_cast<AnswerScope>(aWire.scope()),
                                           CheckedName(aWire.peer()), aWire.body() } };
}

template<class Message, class Wire>
Message
DecodeSubs(const Wire& aWire)
{
  Message message;
  DecodeAll(aWire.subs(), message.mSubs);
  return message;
}

FleetMessage
DecodeMessage(const wire::Envelope& aWire, const FleetEnvelope& aEnvelope)
{
  switch (aWire.message_case()) {
    case wire::Envelope::kPing:
      return Decode(aWire.ping(), aEnvelope);
    case wire::Envelope::kAck:
      return Decode(aWire.ack(), aEnvelope);
    case wire::Envelope::kPingRequest:
      return Decode(aWire.ping_request(), aEnvelope);
    case wire::Envelope::kFactPush: {
      GossipPushMessage push;
      DecodeAll(aWire.fact_push().facts(), push.mGossip);
      return push;
    }
    case wire::Envelope::kCatalogueDelta:
      return Decode(aWire.catalogue_delta());
    case wire::Envelope::kCatalogueDigest:
      return Decode(aWire.catalogue_digest());
    case wire::Envelope::kCataloguePull:
      return CataloguePullMessage{ aWire.catalogue_pull().nonce(),
                                   Revision(aWire.catalogue_pull().since()) };
    case wire::Envelope::kInventoryPull:
      return InventoryPullMessage{ aWire.inventory_pull().known_hash() };
    case wire::Envelope::kInventoryReply: {
      const auto& reply = aWire.inventory_reply();
      return InventoryReplyMessage{ reply.hash(), reply.age_ms(), reply.body() };
    }
    case wire::Envelope::kForwardSearch:
      return DecodeSubs<ForwardSearchMessage>(aWire.forward_search());
    case wire::Envelope::kForwardSearchReply:
      return DecodeSubs<ForwardSearchReplyMessage>(aWire.forward_search_reply());
    case wire::Envelope::kForwardCancel: {
      const auto& ids = aWire.forward_cancel().sub_ids();
      return ForwardCancelMessage{ { ids.begin(), ids.end() } };
    }
    case wire::Envelope::kForwardExecution: {
      const auto& execution = aWire.forward_execution();
      Require(execution.ticket().size() <= kMaxTicketBytes, "ticket too long");
      return ForwardExecutionMessage{ execution.ticket(),
                                      CallerId(CheckedName(execution.caller())),
                                      ProfileName(CheckedName(execution.profile())),
                                      execution.body(), execution.deadline_ms() };
    }
    case wire::Envelope::kForwardExecutionReply:
      return Decode(aWire.forward_execution_reply());
    case wire::Envelope::MESSAGE_NOT_SET:
      break;
  }
  throw InvalidContent{ "no message" };
}

boost::leaf::error_id
RejectMessage(FleetDecodeError aError, const std::string& aSender,
              std::string_view aCause, FleetDecodeCounters* aCounters)
{
  if (aCounters) {
    aCounters->Add(aError);
  }
  return Fail(Error{ Step::FleetMessage, aSender.substr(0, kMaxNameBytes),
                     Outcome::NotRun, std::string(aCause) });
}

} // namespace

std::string_view
ToText(FleetDecodeError aError)
{
  switch (aError) {
    case FleetDecodeError::TooLarge:
      return "too_large";
    case FleetDecodeError::Malformed:
      return "malformed";
    case FleetDecodeError::UnknownVersion:
      return "unknown_version";
    case FleetDecodeError::UnknownMessage:
      return "unknown_message";
    case FleetDecodeError::InvalidContent:
      return "invalid_content";
  }
  return "invalid";
}

void
FleetDecodeCounters::Add(FleetDecodeError aError)
{
  mCounts.at(static_cast<std::size_t>(aError)).fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t
FleetDecodeCounters::Count(FleetDecodeError aError) const
{
  return mCounts.at(static_cast<std::size_t>(aError)).load(std::memory_order_relaxed);
}

Result<std::string>
EncodeFleet(const FleetEnvelope& aEnvelope)
{
  wire::Envelope out;
  out.set_version(kFleetProtocolVersion);
  out.set_sender(aEnvelope.mSender.Text());
  out.set_incarnation(aEnvelope.mIncarnation.Value());
  out.set_data_centre(aEnvelope.mDataCentre.Text());
  out.set_correlation(aEnvelope.mCorrelation);
  std::visit(Encoder{ out }, aEnvelope.mMessage);
  if (out.ByteSizeLong() > kMaxFleetMessageBytes) {
    return Fail(Error{ Step::FleetMessage,
                       {},
                       Outcome::NotRun,
                       std::string(MessageName(aEnvelope.mMessage)) +
                         " exceeds the message size limit" });
  }
  return out.SerializeAsString();
}

Result<FleetEnvelope>
DecodeFleet(std::string_view aBytes, FleetDecodeCounters* aCounters)
{
  if (aBytes.size() > kMaxFleetMessageBytes) {
    return RejectMessage(FleetDecodeError::TooLarge, {}, "message exceeds the size limit",
                         aCounters);
  }
  // By default, protobuf writes a line to standard error for each text that is not UTF-8,
  // so a faulty peer could flood the log. Without the handler, such messages are only
  // counted, below.
  static const auto kPreviousHandler = google::protobuf::SetLogHandler(nullptr);
  static_cast<void>(kPreviousHandler);
  wire::Envelope in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return RejectMessage(FleetDecodeError::Malformed, {}, "malformed message", aCounters);
  }
  if (in.version() != kFleetProtocolVersion) {
    return RejectMessage(FleetDecodeError::UnknownVersion, in.sender(),
                         "unknown protocol version " + std::to_string(in.version()),
                         aCounters);
  }
  if (in.message_case() == wire::Envelope::MESSAGE_NOT_SET) {
    return RejectMessage(FleetDecodeError::UnknownMessage, in.sender(), "unknown message",
                         aCounters);
  }
  try {
    FleetEnvelope envelope;
    envelope.mSender = VmId(NonEmptyName(in.sender()));
    envelope.mIncarnation = Incarnation(in.incarnation());
    envelope.mDataCentre = DataCentreId(NonEmptyName(in.data_centre()));
    envelope.mCorrelation = in.correlation();
    envelope.mMessage = DecodeMessage(in, envelope);
    return envelope;
  } catch (const InvalidContent& invalid) {
    return RejectMessage(FleetDecodeError::InvalidContent, in.sender(), invalid.mCause,
                         aCounters);
  }
}

std::string_view
MessageName(const FleetMessage& aMessage)
{
  constexpr std::array<std::string_view, std::variant_size_v<FleetMessage>> kNames{
    "ping",
    "ack",
    "ping_request",
    "fact_push",
    "catalogue_delta",
    "catalogue_digest",
    "catalogue_pull",
    "forward_search",
    "forward_search_reply",
    "forward_cancel",
    "forward_execution",
    "forward_execution_reply",
    "inventory_pull",
    "inventory_reply",
  };
  return kNames.at(aMessage.index());
}

} // namespace wasabispar
