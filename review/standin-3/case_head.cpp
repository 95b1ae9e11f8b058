/// @file
/// @brief MIXED: a HEAD request that the VM refuses itself is answered with a body, whose
/// bytes stand on the connection where the next answer is due.
#include "deployment.hpp"

using namespace review;

namespace {

int
Play(Deployment& aDeployment)
{
  auto& store = aDeployment.mStore;
  auto& record = aDeployment.mRecord;
  store.Put("op/config",
            Config(1, { { "patterns", "/patterns/", "patterns" } }, { "patterns" }));
  auto& first = aDeployment.AddSearcher("i-p1", "patterns");
  auto& second = aDeployment.AddSearcher("i-p2", "patterns");
  aDeployment.StartEdges(1);
  const auto& edge = *aDeployment.mEdges.front();
  HttpClient client(edge.Callers());
  Sleep(6000);
  aDeployment.SendOn(client, edge, aDeployment.MakeRequest("HEAD", "/patterns/1"));
  aDeployment.SendOn(client, edge, aDeployment.MakeRequest("GET", "/patterns/1"));
  if (HasTrouble()) {
    first.Crash();
    second.Crash();
    Sleep(1000);
  }
  aDeployment.SendOn(client, edge, aDeployment.MakeRequest("HEAD", "/patterns/2"));
  record.Line("client: head of the answer: " + client.Head());
  if (HasTrouble()) {
    Sleep(3500);
    first.StartAgain();
    second.StartAgain();
    store.Put(first.Key(), first.Entry());
    store.Put(second.Key(), second.Entry());
    Sleep(3000);
  }
  if (!client.Connection()) {
    record.Line("the connection was closed");
    return kHeld;
  }
  const auto get = aDeployment.MakeRequest("GET", "/patterns/3");
  const auto response = aDeployment.SendOn(client, edge, get);
  record.Line("client: head of the answer: " + client.Head());
  const auto expected = " to " + get.Header("X-Request-Id");
  if (response && response->mStatus == 200 &&
      response->mBody.find(expected) != std::string::npos) {
    return kHeld;
  }
  if (client.Head().rfind("HTTP/1.1 ", 0) == 0) {
    return kCouldNotRun;
  }
  record.Line("MIXED: bytes that are no answer stand where the answer to " +
              get.Header("X-Request-Id") + " is due");
  return kBroken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
