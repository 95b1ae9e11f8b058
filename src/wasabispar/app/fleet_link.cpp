/// @file
/// @brief FleetLink on FleetTransport.
#include "wasabispar/app/fleet_link.hpp"

#include "wasabispar/base/log.hpp"
#include "wasabispar/net/fleet_codec.hpp"

namespace wasabispar {

FleetLink::FleetLink(AppContext& aContext, FleetLinkHooks aHooks)
  : mContext(aContext)
  , mHooks(std::move(aHooks))
{
  FleetTransportHooks hooks;
  hooks.mExecutor = [&worker = aContext.mWorkers.At(0)](std::function<void()> aFn) {
    worker.Post(std::move(aFn));
  };
  hooks.mAccepts = mHooks.mAccepts;
  hooks.mOnMessage = [this](const FleetEnvelope& aEnvelope, std::string_view) {
    mHooks.mOnMessage(aEnvelope);
  };
  mTransport =
    std::make_unique<FleetTransport>(FleetTransportOptions{}, std::move(hooks));
}

FleetLink::~FleetLink() = default;

Result<void>
FleetLink::Start()
{
  const auto& settings = mContext.mSettings;
  return mTransport->Start("tcp://" + settings.mListen + ":" +
                           std::to_string(settings.mFleetPort));
}

std::uint16_t
FleetLink::Port() const
{
  return mTransport->Port();
}

std::string
FleetLink::Address() const
{
  return "tcp://" + mContext.mSettings.mListen + ":" + std::to_string(Port());
}

void
FleetLink::Send(const VmId& aTo, FleetMessage aMessage, std::uint64_t aCorrelation,
                SentFn aOnSent)
{
  const auto address = mHooks.mAddress(aTo);
  if (address.empty()) {
    if (aOnSent) {
      mContext.mWorkers.At(0).Post([sent = std::move(aOnSent)] { sent(false); });
    }
    return;
  }
  SendTo(address, std::move(aMessage), aCorrelation, std::move(aOnSent));
}

void
FleetLink::SendTo(const std::string& aAddress, FleetMessage aMessage,
                  std::uint64_t aCorrelation, SentFn aOnSent)
{
  FleetEnvelope envelope;
  envelope.mSender = mContext.mSettings.mVm;
  envelope.mIncarnation = mContext.mIncarnation;
  envelope.mDataCentre = mContext.mSettings.mDataCentre;
  envelope.mCorrelation = aCorrelation;
  envelope.mMessage = std::move(aMessage);
  const auto bytes =
    HandleError([&]() -> Result<std::string> { return EncodeFleet(envelope); },
                [&](const Error& aError) {
                  LogEvent(LogLevel::Error, "fleet-message-not-encoded",
                           { { "peer", aAddress }, { "cause", aError.mCause } });
                  return std::string();
                });
  if (bytes.empty()) {
    if (aOnSent) {
      mContext.mWorkers.At(0).Post([sent = std::move(aOnSent)] { sent(false); });
    }
    return;
  }
  mTransport->Send(aAddress, bytes, std::move(aOnSent));
}

void
FleetLink::RemovePeer(const std::string& aAddress)
{
  mTransport->RemovePeer(aAddress);
}

void
FleetLink::Stop()
{
  mTransport->Stop();
}

FleetTransportCounters
FleetLink::Counters() const
{
  return mTransport->Counters();
}

void
FleetLink::UpdateMetrics()
{
  const auto counters = mTransport->Counters();
  auto& metrics = mContext.mMetrics;
  const auto set = [&](const std::string& aName, const std::string& aHelp,
                       std::uint64_t aValue) {
    metrics.Gauge(aName, aHelp).Set(static_cast<double>(aValue));
  };
  set("wasabispar_fleet_messages_in", "Fleet messages received.", counters.mMessagesIn);
  set("wasabispar_fleet_messages_out", "Fleet messages sent.", counters.mMessagesOut);
  set("wasabispar_fleet_bytes_in", "Bytes of fleet messages received.",
      counters.mBytesIn);
  set("wasabispar_fleet_bytes_out", "Bytes of fleet messages sent.", counters.mBytesOut);
  set("wasabispar_fleet_send_failures",
      "Fleet messages that were never handed to a connection.",
      counters.mSendFailures + counters.mQueueFull);
  set("wasabispar_fleet_not_accepted", "Fleet messages refused because of their sender.",
      counters.mNotAccepted);
  for (std::size_t i = 0; i < kFleetDecodeErrorCount; ++i) {
    const auto reason = static_cast<FleetDecodeError>(i);
    metrics
      .Gauge("wasabispar_fleet_refused", "Fleet messages refused, by reason.",
             { { "reason", std::string(ToText(reason)) } })
      .Set(static_cast<double>(mTransport->DecodeCounters().Count(reason)));
  }
}

} // namespace wasabispar
