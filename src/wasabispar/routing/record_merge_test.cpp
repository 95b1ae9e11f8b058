/// @file
/// @brief Tests of the merge of records, beside a naive version.
#include "wasabispar/routing/record_merge.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace wasabispar;

namespace {

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

TEST_CASE("bytes above 127 are greater than those below")
{
  const auto low = Record(0x7f);
  const auto high = Record(0x80);
  CHECK(MergeGreatestRecords({ low, high }, 2) == high + low);
}

TEST_CASE("equal records all count and a remainder is no record")
{
  const auto record = Record(5);
  const auto body = record + record + "short";
  CHECK(MergeGreatestRecords({ body, record }, 10) == record + record + record);
}

TEST_CASE("the merge equals the naive one")
{
  rc::check([](const std::vector<std::string>& aBodies) {
    const auto top = *rc::gen::inRange<std::size_t>(0, 12);
    const std::vector<std::string_view> views(aBodies.begin(), aBodies.end());
    RC_ASSERT(MergeGreatestRecords(views, top) == NaiveMerge(aBodies, top));
  });
}
