/// @file
/// @brief Renders `/v1/status`.
#include "wasabispar/app/ctl_status.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/ctl_table.hpp"

#include <algorithm>
#include <map>

namespace wasabispar {

namespace json = boost::json;

namespace {

/// The members and what follows from them.
struct Force
{
  std::uint64_t mRevision = 0;
  std::size_t mCounted = 0;
  std::size_t mInForce = 0;
};

bool
IsDead(const json::object& aMember)
{
  return TextIn(aMember, "state") == "dead";
}

bool
IsInForce(const json::object& aMember, std::uint64_t aRevision)
{
  return NumberIn(aMember, "revision").has_value() &&
         CountIn(aMember, "revision") >= aRevision;
}

Force
ForceOf(const json::object& aStatus, const std::vector<json::object>& aMembers)
{
  Force force{ CountIn(aStatus, "revision"), 0, 0 };
  for (const auto& member : aMembers) {
    if (!IsDead(member)) {
      force.mRevision = std::max(force.mRevision, CountIn(member, "revision"));
    }
  }
  for (const auto& member : aMembers) {
    if (!IsDead(member)) {
      ++force.mCounted;
      force.mInForce += IsInForce(member, force.mRevision) ? 1 : 0;
    }
  }
  return force;
}

std::string
MemberNote(const json::object& aMember, std::uint64_t aRevision)
{
  if (IsDead(aMember) || IsInForce(aMember, aRevision)) {
    return "";
  }
  return NumberIn(aMember, "revision") ? "NOT IN FORCE" : "NOT IN FORCE: no answer";
}

std::string
MembersText(const std::vector<json::object>& aMembers, std::uint64_t aRevision)
{
  std::map<std::string, CtlTable> dataCentres;
  for (const auto& member : aMembers) {
    const auto key =
      TextIn(member, "data_centre") + " (region " + TextIn(member, "region") + ")";
    const auto [table, isNew] = dataCentres.try_emplace(
      key, std::vector<std::string>{ "  vm", "state", "since", "revision", "reported",
                                     "fleet", "note" });
    table->second.Add({ "  " + TextIn(member, "vm"), TextIn(member, "state"),
                        AgeIn(member, "since_ms"), TextIn(member, "revision"),
                        AgeIn(member, "revision_age_ms"), TextIn(member, "fleet"),
                        MemberNote(member, aRevision) });
  }
  std::string text;
  for (const auto& [dataCentre, table] : dataCentres) {
    text += "\ndata centre " + dataCentre + "\n" + table.Text();
  }
  return text;
}

std::string
ContactsText(const std::vector<json::object>& aContacts)
{
  if (aContacts.empty()) {
    return "";
  }
  CtlTable table({ "  data centre", "region", "reachable", "last contact", "alive VMs" });
  for (const auto& contact : aContacts) {
    table.Add({ "  " + TextIn(contact, "data_centre"), TextIn(contact, "region"),
                FlagIn(contact, "reachable") ? "yes" : "NO",
                AgeIn(contact, "last_contact_ms"),
                TextIn(contact, "alive") + " of " + TextIn(contact, "members") });
  }
  return "\nother data centres\n" + table.Text();
}

std::string
RejectedText(const std::vector<json::object>& aRejected)
{
  if (aRejected.empty()) {
    return "";
  }
  CtlTable table({ "  profile", "revision", "age", "cause" });
  for (const auto& document : aRejected) {
    table.Add({ "  " + TextIn(document, "profile"), TextIn(document, "revision"),
                AgeIn(document, "age_ms"), TextIn(document, "cause") });
  }
  return "\nrejected documents (the last valid one stays in effect)\n" + table.Text();
}

std::string
OwnText(const json::object& aStatus)
{
  const bool isReady = FlagIn(aStatus, "ready");
  std::string text = "vm " + TextIn(aStatus, "vm") + ", data centre " +
                     TextIn(aStatus, "data_centre") + ", region " +
                     TextIn(aStatus, "region") + "\n";
  text += isReady ? "ready\n" : "NOT READY: " + TextIn(aStatus, "reason") + "\n";
  text += "configuration: revision " + TextIn(aStatus, "revision") +
          ", last contact with the platform " + AgeIn(aStatus, "platform_age_ms") +
          " ago, started by " + TextIn(aStatus, "configuration_started_by") +
          (FlagIn(aStatus, "holds_platform_watch") ? ", holds a platform watch\n" : "\n");
  text += "requests: " + TextIn(aStatus, "running_requests") + " running, " +
          TextIn(aStatus, "queued_requests") + " queued, limit " +
          TextIn(aStatus, "concurrency_limit") + "; " +
          TextIn(aStatus, "outstanding_tickets") + " tickets, " +
          TextIn(aStatus, "quarantined") + " quarantined\n";
  return text;
}

} // namespace

CtlReport
RenderStatus(const json::object& aStatus)
{
  const auto members = ObjectsIn(aStatus, "members");
  const auto contacts = ObjectsIn(aStatus, "other_data_centres");
  const auto force = ForceOf(aStatus, members);
  CtlReport report;
  report.mText = OwnText(aStatus) + "in force: " + std::to_string(force.mInForce) +
                 " of " + std::to_string(force.mCounted) + " VMs at revision " +
                 std::to_string(force.mRevision) + "\n" +
                 MembersText(members, force.mRevision) + ContactsText(contacts) +
                 RejectedText(ObjectsIn(aStatus, "rejected_documents"));
  const bool isCutOff =
    std::any_of(contacts.begin(), contacts.end(), [](const json::object& aContact) {
      return !FlagIn(aContact, "reachable");
    });
  report.mHasProblem =
    !FlagIn(aStatus, "ready") || force.mInForce < force.mCounted || isCutOff;
  return report;
}

} // namespace wasabispar
