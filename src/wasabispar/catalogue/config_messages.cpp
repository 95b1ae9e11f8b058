/// @file
/// @brief Texts and encoded sizes of catalogue messages.
#include "wasabispar/catalogue/config_messages.hpp"

namespace wasabispar {

std::string_view
ToText(StartSource aSource)
{
  switch (aSource) {
    case StartSource::Peers:
      return "peers";
    case StartSource::Platform:
      return "platform";
    case StartSource::WaitExpired:
      return "wait-expired";
  }
  return "wait-expired";
}

std::size_t
EncodedSize(const ConfigMessage& aMessage)
{
  // Six numbers of at most ten bytes each and their tags.
  constexpr std::size_t kFixedPartBytes = 64;
  const auto* delta = std::get_if<CatalogueDeltaMessage>(&aMessage);
  return kFixedPartBytes + (delta != nullptr ? EncodedSize(delta->mDelta) : 0);
}

} // namespace wasabispar
