/// @file
/// @brief Conversion between plain fleet messages and protobuf.
#include "wasabispar/net/fleet_codec.hpp"

#include "wasabispar/net/generated/fleet.pb.h"

#include <utility>

namespace wasabispar {

namespace {

/// Longest id, address or other name that is accepted.
constexpr std::size_t kMaxNameBytes = 512;

/// Thrown within this file only: the content breaks a rule.
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

const std::string&
Name(const std::string& aText)
{
  Require(aText.size() <= kMaxNameBytes, "name too long");
  return aText;
}

const std::string&
RequiredName(const std::string& aText)
{
  Require(!aText.empty(), "empty name");
  return Name(aText);
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

wire::Outcome
ToWire(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return wire::NOT_RUN;
    case Outcome::OutcomeUnknown:
      return wire::OUTCOME_UNKNOWN;
    case Outcome::Ran:
      return wire::RAN;
  }
  return wire::OUTCOME_UNKNOWN;
}

Outcome
FromWire(wire::Outcome aOutcome)
{
  switch (aOutcome) {
    case wire::NOT_RUN:
      return Outcome::NotRun;
    case wire::OUTCOME_UNKNOWN:
      return Outcome::OutcomeUnknown;
    case wire::RAN:
      return Outcome::Ran;
    default:
      throw InvalidContent{ "unknown outcome" };
  }
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
  update.mIdentity.mVm = VmId(RequiredName(aWire.vm()));
  update.mIdentity.mIncarnation = Incarnation(aWire.incarnation());
  update.mIdentity.mAddress = Name(aWire.address());
  update.mIdentity.mDataCentre = DataCentreId(RequiredName(aWire.data_centre()));
  update.mIdentity.mRegion = RegionId(Name(aWire.region()));
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
  update.mIdentity.mAddress = RequiredName(aWire.address());
  update.mIdentity.mRegion = RegionId(Name(aWire.region()));
  update.mState = FromWire(aWire.state());
  update.mStateVersion = aWire.state_version();
  return update;
}

void
Encode(const Fact& aFact, wire::Fact& aWire)
{
  aWire.set_key(aFact.mKey);
  aWire.set_version(aFact.mVersion);
  aWire.set_value(aFact.mValue);
  aWire.set_origin(aFact.mOrigin.Text());
  aWire.set_ttl_ms(aFact.mTtlMs);
}

Fact
Decode(const wire::Fact& aWire)
{
  return { RequiredName(aWire.key()), aWire.version(), aWire.value(),
           VmId(RequiredName(aWire.origin())), aWire.ttl_ms() };
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
  return { DataCentreId(RequiredName(aWire.data_centre())), aWire.digest() };
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
  return { DataCentreId(RequiredName(aWire.data_centre())), aWire.age_ms() };
}

void
Encode(const CatalogueDeltaMessage::Item& aItem, wire::CatalogueItem& aWire)
{
  aWire.set_name(aItem.mName.Text());
  aWire.set_revision(aItem.mRevision.Value());
  aWire.set_deleted(aItem.mIsDeleted);
  aWire.set_document(aItem.mDocument);
}

CatalogueDeltaMessage::Item
Decode(const wire::CatalogueItem& aWire)
{
  return { ProfileName(RequiredName(aWire.name())), Revision(aWire.revision()),
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
}

ForwardSearchMessage::Sub
Decode(const wire::SubRequest& aWire)
{
  return { aWire.sub_id(),
           IndexName(Name(aWire.index())),
           SnapshotVersion(aWire.version()),
           ShardId(Name(aWire.shard())),
           UpstreamId(RequiredName(aWire.upstream())),
           CallerId(Name(aWire.caller())),
           ProfileName(Name(aWire.profile())),
           aWire.query(),
           aWire.deadline_ms() };
}

void
Encode(const ForwardSearchReplyMessage::Sub& aSub, wire::SubReply& aWire)
{
  aWire.set_sub_id(aSub.mSubId);
  aWire.set_status(aSub.mStatus);
  aWire.set_version(aSub.mVersion.Value());
  aWire.set_shard(aSub.mShard.Text());
  aWire.set_body(aSub.mBody);
  aWire.set_cause(aSub.mCause);
  aWire.set_draining(aSub.mIsDraining);
}

ForwardSearchReplyMessage::Sub
Decode(const wire::SubReply& aWire)
{
  return { aWire.sub_id(),
           aWire.status(),
           SnapshotVersion(aWire.version()),
           ShardId(Name(aWire.shard())),
           aWire.body(),
           Name(aWire.cause()),
           aWire.draining() };
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

/// Writes the message into its field of the envelope.
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
    out.set_fact_digest(aPing.mFactDigest);
    EncodeAll(aPing.mFacts, out.mutable_facts());
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
    EncodeAll(aAck.mFacts, out.mutable_facts());
  }

  void operator()(const PingRequestMessage& aRequest) const
  {
    auto& out = *mWire.mutable_ping_request();
    out.set_sequence(aRequest.mSequence);
    Encode(aRequest.mSelf, *out.mutable_self());
    Encode(aRequest.mTarget, *out.mutable_target());
    EncodeAll(aRequest.mUpdates, out.mutable_updates());
  }

  void operator()(const FactPushMessage& aPush) const
  {
    EncodeAll(aPush.mFacts, mWire.mutable_fact_push()->mutable_facts());
  }

  void operator()(const CatalogueDeltaMessage& aDelta) const
  {
    auto& out = *mWire.mutable_catalogue_delta();
    out.set_from(aDelta.mFrom.Value());
    out.set_to(aDelta.mTo.Value());
    EncodeAll(aDelta.mItems, out.mutable_items());
    out.set_platform_age_ms(aDelta.mPlatformAgeMs);
  }

  void operator()(const CatalogueDigestMessage& aDigest) const
  {
    auto& out = *mWire.mutable_catalogue_digest();
    out.set_revision(aDigest.mRevision.Value());
    out.set_digest(aDigest.mDigest);
    out.set_platform_age_ms(aDigest.mPlatformAgeMs);
  }

  void operator()(const CataloguePullMessage& aPull) const
  {
    mWire.mutable_catalogue_pull()->set_since(aPull.mSince.Value());
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
    out.set_outcome(ToWire(aReply.mOutcome));
    out.set_status(aReply.mStatus);
    out.set_body(aReply.mBody);
    out.set_error_step(aReply.mErrorStep);
    out.set_error_peer(aReply.mErrorPeer);
    out.set_error_cause(aReply.mErrorCause);
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
  ping.mFactDigest = aWire.fact_digest();
  DecodeAll(aWire.facts(), ping.mFacts);
  return ping;
}

AckMessage
Decode(const wire::Ack& aWire, const FleetEnvelope& aEnvelope)
{
  AckMessage ack;
  ack.mSequence = aWire.sequence();
  Require(aWire.has_self() != aWire.has_subject(), "answer without one subject");
  ack.mSubject =
    aWire.has_self() ? Decode(aWire.self(), aEnvelope) : Decode(aWire.subject());
  DecodeAll(aWire.updates(), ack.mUpdates);
  DecodeAll(aWire.facts(), ack.mFacts);
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
  CatalogueDeltaMessage delta;
  delta.mFrom = Revision(aWire.from());
  delta.mTo = Revision(aWire.to());
  DecodeAll(aWire.items(), delta.mItems);
  delta.mPlatformAgeMs = aWire.platform_age_ms();
  return delta;
}

ForwardExecutionReplyMessage
Decode(const wire::ForwardExecutionReply& aWire)
{
  return {
    FromWire(aWire.outcome()), aWire.status(),           aWire.body(),
    Name(aWire.error_step()),  Name(aWire.error_peer()), Name(aWire.error_cause())
  };
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
      FactPushMessage push;
      DecodeAll(aWire.fact_push().facts(), push.mFacts);
      return push;
    }
    case wire::Envelope::kCatalogueDelta:
      return Decode(aWire.catalogue_delta());
    case wire::Envelope::kCatalogueDigest: {
      const auto& digest = aWire.catalogue_digest();
      return CatalogueDigestMessage{ Revision(digest.revision()), digest.digest(),
                                     digest.platform_age_ms() };
    }
    case wire::Envelope::kCataloguePull:
      return CataloguePullMessage{ Revision(aWire.catalogue_pull().since()) };
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
      return ForwardExecutionMessage{ Name(execution.ticket()),
                                      CallerId(Name(execution.caller())),
                                      ProfileName(Name(execution.profile())),
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
Refuse(FleetDecodeError aError, const std::string& aSender, std::string_view aCause,
       FleetDecodeCounters* aCounters)
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
    return Refuse(FleetDecodeError::TooLarge, {}, "message exceeds the size limit",
                  aCounters);
  }
  // protobuf would write a line to standard error for each text that is not UTF-8, so a
  // faulty peer could fill the log. The error is counted below.
  static const auto sOldHandler = google::protobuf::SetLogHandler(nullptr);
  static_cast<void>(sOldHandler);
  wire::Envelope in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Refuse(FleetDecodeError::Malformed, {}, "malformed message", aCounters);
  }
  if (in.version() != kFleetProtocolVersion) {
    return Refuse(FleetDecodeError::UnknownVersion, in.sender(),
                  "unknown protocol version " + std::to_string(in.version()), aCounters);
  }
  if (in.message_case() == wire::Envelope::MESSAGE_NOT_SET) {
    return Refuse(FleetDecodeError::UnknownMessage, in.sender(), "unknown message",
                  aCounters);
  }
  try {
    FleetEnvelope envelope;
    envelope.mSender = VmId(RequiredName(in.sender()));
    envelope.mIncarnation = Incarnation(in.incarnation());
    envelope.mDataCentre = DataCentreId(RequiredName(in.data_centre()));
    envelope.mCorrelation = in.correlation();
    envelope.mMessage = DecodeMessage(in, envelope);
    return envelope;
  } catch (const InvalidContent& invalid) {
    return Refuse(FleetDecodeError::InvalidContent, in.sender(), invalid.mCause,
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
  };
  return kNames.at(aMessage.index());
}

} // namespace wasabispar
