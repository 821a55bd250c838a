/**
 * @file record_codec.cpp
 * Encoding of a bucket's value.
 *
 * {"v":1,"o":[["instance",number],...],"e":[["hash",issued_ms,owner],...]}
 */
#include "once/record_codec_func.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace monsooncroft::once {

namespace {

using json = nlohmann::json;

constexpr int kFormat = 1;
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kEntryBytes = 72; ///< Hash, two numbers, punctuation.
constexpr std::size_t kOwnerBytes = 32; ///< Number and punctuation.
constexpr std::size_t kEscapedBytes =
  6; ///< Longest escape sequence of one character.
constexpr std::size_t kOwnerFields = 2;
constexpr std::size_t kEntryFields = 3;

std::vector<incarnation>
ReadOwners(const json& aOwners)
{
  std::vector<incarnation> owners;
  for (const json& owner : aOwners) {
    if (owner.size() != kOwnerFields) {
      throw std::invalid_argument("owner");
    }
    owners.push_back(
      { model::instance_id(owner.at(0).get_ref<const std::string&>()),
        owner.at(1).get<std::uint64_t>() });
  }
  return owners;
}

record
ReadEntries(const json& aEntries, const std::vector<incarnation>& aOwners)
{
  record out;
  for (const json& entry : aEntries) {
    const auto hash =
      ParseRequestHash(entry.at(0).get_ref<const std::string&>());
    if (entry.size() != kEntryFields || !hash) {
      throw std::invalid_argument("entry");
    }
    const std::chrono::milliseconds issued(entry.at(1).get<std::int64_t>());
    const incarnation& owner = aOwners.at(entry.at(2).get<std::size_t>());
    out[*hash] = record_entry{ model::wall_instant(issued), owner };
  }
  return out;
}

} // namespace

std::string
EncodeRecord(const record& aRecord)
{
  std::map<incarnation, std::size_t> ownerIndexes;
  json owners = json::array();
  json entries = json::array();
  for (const auto& [hash, entry] : aRecord) {
    const auto [position, added] =
      ownerIndexes.try_emplace(entry.mOwner, ownerIndexes.size());
    if (added) {
      owners.push_back(
        { entry.mOwner.mInstance.Value(), entry.mOwner.mNumber });
    }
    const std::int64_t issued = entry.mIssuedAt.time_since_epoch().count();
    entries.push_back({ ToHex(hash), issued, position->second });
  }
  const json out = { { "v", kFormat }, { "o", owners }, { "e", entries } };
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<record>
DecodeRecord(std::string_view aText)
{
  if (aText.empty()) {
    return record();
  }
  try {
    const json value = json::parse(aText);
    if (value.at("v").get<int>() != kFormat) {
      return std::nullopt;
    }
    return ReadEntries(value.at("e"), ReadOwners(value.at("o")));
  } catch (const std::exception&) {
    // Whatever is wrong with the text, the caller must not overwrite it.
    return std::nullopt;
  }
}

std::size_t
MaxEncodedBytes(const record& aRecord)
{
  std::map<incarnation, bool> owners;
  std::size_t bytes = kHeaderBytes;
  for (const auto& [hash, entry] : aRecord) {
    bytes += kEntryBytes;
    if (owners.try_emplace(entry.mOwner, true).second) {
      const std::string& name = entry.mOwner.mInstance.Value();
      bytes += kOwnerBytes + kEscapedBytes * name.size();
    }
  }
  return bytes;
}

} // namespace monsooncroft::once
