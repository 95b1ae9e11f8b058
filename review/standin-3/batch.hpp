/// @file
/// @brief Requests that are sent all at once, as a batch job does.
#pragma once

#include "deployment.hpp"

#include <thread>
#include <vector>

namespace review {

/// @brief Sends @p aCount orders to the first VM at once, each on a connection of its
/// own, and waits for their answers. Returns how many were not answered with a success.
inline int
SendBatch(Deployment& aDeployment, int aCount)
{
  std::atomic<int> failed{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < aCount; ++i) {
    clients.emplace_back([&aDeployment, &failed] {
      const auto response =
        aDeployment.Send(*aDeployment.mEdges.front(),
                         aDeployment.MakeRequest("POST", "/orders/new", "order"));
      failed += response && response->mStatus == 200 ? 0 : 1;
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  return failed;
}

} // namespace review
