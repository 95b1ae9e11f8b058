/// @file
/// @brief Tests of the merge of records against a naive implementation.
#include "wasabispar/routing/record_merge.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace wasabispar;

namespace {

/// A record of zeros with the given first byte.
std::string
Record(unsigned char aFirst)
{
  std::string record(kRecordBytes, '\0');
  record[0] = static_cast<char>(aFirst);
  return record;
}

std::string
NaiveMerge(const std::vector<std::string>& aBodies, std::size_t aMaxRecords)
{
  std::vector<std::string> records;
  for (const auto& body : aBodies) {
    for (std::size_t i = 0; i < body.size() / kRecordBytes; ++i) {
      records.push_back(body.substr(i * kRecordBytes, kRecordBytes));
    }
  }
  std::sort(records.rbegin(), records.rend());
  std::string merged;
  for (std::size_t i = 0; i < std::min(aMaxRecords, records.size()); ++i) {
    merged += records[i];
  }
  return merged;
}

} // namespace

TEST_CASE("bytes are compared as unsigned values")
{
  const auto low = Record(0x7f);
  const auto high = Record(0x80);
  CHECK(MergeGreatestRecords({ low, high }, 2) == high + low);
}

TEST_CASE("equal records are all kept and a short remainder is ignored")
{
  const auto record = Record(5);
  const auto body = record + record + "short";
  CHECK(MergeGreatestRecords({ body, record }, 10) == record + record + record);
}

TEST_CASE("the merge equals that of the naive implementation")
{
  CHECK(rc::check([](const std::vector<std::string>& aBodies) {
    const auto top = *rc::gen::inRange<std::size_t>(0, 12);
    const std::vector<std::string_view> views(aBodies.begin(), aBodies.end());
    RC_ASSERT(MergeGreatestRecords(views, top) == NaiveMerge(aBodies, top));
  }));
}
