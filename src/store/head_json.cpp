/**
 * @file head_json.cpp
 * Heads as JSON, and the hash of chunks.
 */
#include "store/head_json_func.h"

#include "config/object_reader_base.h"
#include "store/key_value_service_base.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace monsooncroft::store {

namespace {

using config::config_errors;
using config::object_reader;
using nlohmann::json;

constexpr int kHeadSchema = 1;
constexpr int kHeadDepth = 8;
constexpr std::size_t kMaxEntries = 10'000;
constexpr std::size_t kHashDigits = 32;
constexpr int kDigitsOfHalf = 16;
constexpr int kBitsOfDigit = 4;
constexpr config::bounds<std::int64_t> kVersions{
  0,
  std::numeric_limits<std::int64_t>::max()
};

std::string
Hexadecimal(std::uint64_t aNumber)
{
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr std::uint64_t kDigitMask = 0xF;
  std::string out(kDigitsOfHalf, '0');
  for (std::size_t place = out.size(); place > 0; --place) {
    out[place - 1] = kDigits[aNumber & kDigitMask];
    aNumber >>= kBitsOfDigit;
  }
  return out;
}

bool
IsHash(const std::string& aText)
{
  return aText.size() == kHashDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::uint64_t
ReadNumber(object_reader& aReader, const char* aMember)
{
  return static_cast<std::uint64_t>(aReader.Integer(aMember, kVersions));
}

chunk_ref
ReadChunk(object_reader& aReader, config_errors& aErrors)
{
  chunk_ref out;
  out.mHash = aReader.Name("hash");
  out.mWriter = change_id(aReader.Name("writer"));
  out.mRevision = ReadNumber(aReader, "revision");
  if (!out.mHash.empty() && !IsHash(out.mHash)) {
    aErrors.push_back(
      { aReader.PathOf("hash"), out.mHash, "32 hexadecimal digits" });
  }
  return out;
}

json
ToJson(const chunk_ref& aChunk)
{
  return { { "hash", aChunk.mHash },
           { "writer", aChunk.mWriter.Value() },
           { "revision", aChunk.mRevision } };
}

/** Calls aRead with a reader for each entry of an array. */
template<class Read>
void
ForEach(object_reader& aReader,
        const char* aMember,
        config_errors& aErrors,
        Read aRead)
{
  std::size_t index = 0;
  for (const json& entry : aReader.Array(aMember, { 0, kMaxEntries })) {
    object_reader reader(
      entry, config::Below(aReader.PathOf(aMember), index), aErrors);
    aRead(reader);
    reader.RefuseOthers();
    ++index;
  }
}

void
ReadLists(object_reader& aReader, head& aHead, config_errors& aErrors)
{
  ForEach(aReader, "services", aErrors, [&](object_reader& aEntry) {
    const model::service_id name(aEntry.Name("name"));
    aHead.mServices.push_back({ name, ReadChunk(aEntry, aErrors) });
  });
  ForEach(aReader, "changes", aErrors, [&](object_reader& aEntry) {
    const auto version = ReadNumber(aEntry, "version");
    aHead.mChanges.push_back({ version, change_id(aEntry.Name("change")) });
  });
  ForEach(aReader, "retired", aErrors, [&](object_reader& aEntry) {
    const auto since = ReadNumber(aEntry, "since");
    aHead.mRetired.push_back({ since, ReadChunk(aEntry, aErrors) });
  });
}

} // namespace

std::string
chunk_ref::Key() const
{
  return "monsooncroft/chunk/" + mHash + "-" + mWriter.Value();
}

std::optional<model::manifest_version>
head::VersionOf(const change_id& aChange) const
{
  const auto found =
    std::find_if(mChanges.begin(), mChanges.end(), [&](const auto& aEntry) {
      return aEntry.mChange == aChange;
    });
  return found == mChanges.end() ? std::nullopt
                                 : std::optional(found->mVersion);
}

std::optional<change_id>
head::ChangeOf(model::manifest_version aVersion) const
{
  const auto found =
    std::find_if(mChanges.begin(), mChanges.end(), [&](const auto& aEntry) {
      return aEntry.mVersion == aVersion;
    });
  return found == mChanges.end() ? std::nullopt : std::optional(found->mChange);
}

std::vector<chunk_ref>
head::Chunks() const
{
  std::vector<chunk_ref> out{ mTenants };
  for (const service_ref& entry : mServices) {
    out.push_back(entry.mChunk);
  }
  return out;
}

config::result<head>
ParseHead(const std::string& aText)
{
  config_errors errors;
  const auto value =
    config::ReadJson(aText, { kMaxValueBytes, kHeadDepth }, errors);
  if (!value) {
    return { std::move(errors) };
  }
  object_reader reader(*value, "", errors);
  head out;
  reader.Integer("schema", { kHeadSchema, kHeadSchema });
  out.mVersion = ReadNumber(reader, "version");
  out.mParent = ReadNumber(reader, "parent");
  out.mChange = change_id(reader.Name("change"));
  if (const json* tenants = reader.Any("tenants")) {
    object_reader entry(*tenants, reader.PathOf("tenants"), errors);
    out.mTenants = ReadChunk(entry, errors);
  } else {
    errors.push_back({ reader.PathOf("tenants"), "nothing", "a chunk" });
  }
  ReadLists(reader, out, errors);
  reader.RefuseOthers();
  if (out.mVersion <= out.mParent) {
    errors.push_back({ reader.PathOf("version"),
                       std::to_string(out.mVersion),
                       "more than the parent" });
  }
  if (!errors.empty()) {
    return { std::move(errors) };
  }
  return { std::move(out) };
}

std::string
EmitHead(const head& aHead)
{
  json services = json::array();
  for (const service_ref& entry : aHead.mServices) {
    services.push_back(ToJson(entry.mChunk));
    services.back()["name"] = entry.mService.Value();
  }
  json changes = json::array();
  for (const change_entry& entry : aHead.mChanges) {
    changes.push_back(
      { { "version", entry.mVersion }, { "change", entry.mChange.Value() } });
  }
  json retired = json::array();
  for (const retired_chunk& entry : aHead.mRetired) {
    retired.push_back(ToJson(entry.mChunk));
    retired.back()["since"] = entry.mSince;
  }
  return config::WriteJson({ { "schema", kHeadSchema },
                             { "version", aHead.mVersion },
                             { "parent", aHead.mParent },
                             { "change", aHead.mChange.Value() },
                             { "tenants", ToJson(aHead.mTenants) },
                             { "services", std::move(services) },
                             { "changes", std::move(changes) },
                             { "retired", std::move(retired) } });
}

std::string
HashChunk(const std::string& aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  return Hexadecimal(hash.high64) + Hexadecimal(hash.low64);
}

} // namespace monsooncroft::store
