/**
 * @file workspace_keys.cpp
 * Workspaces by API key.
 */
#include "serving/workspace_keys_base.h"

#include <sodium.h>

#include <cstring>
#include <stdexcept>

namespace monsooncroft::serving {

namespace {

using hash_key = std::array<unsigned char, crypto_generichash_KEYBYTES>;

static_assert(workspace_keys::kDigestBytes >= crypto_generichash_BYTES_MIN);

/** Random key of this process. */
const hash_key&
ProcessKey()
{
  static const hash_key kKey = [] {
    if (sodium_init() < 0) {
      throw std::runtime_error("libsodium cannot be initialised");
    }
    hash_key key{};
    randombytes_buf(key.data(), key.size());
    return key;
  }();
  return kKey;
}

/** @param aKey Key of the hash; null for none. */
workspace_keys::digest
Hash(std::string_view aText, const unsigned char* aKey, std::size_t aKeyBytes)
{
  workspace_keys::digest out{};
  crypto_generichash(out.data(),
                     out.size(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size(),
                     aKey,
                     aKeyBytes);
  return out;
}

workspace_keys::digest
DigestOfShared(std::string_view aSharedDigest)
{
  const hash_key& key = ProcessKey();
  return Hash(aSharedDigest, key.data(), key.size());
}

} // namespace

std::size_t
workspace_keys::digest_hash::operator()(const digest& aDigest) const
{
  std::size_t hash = 0;
  static_assert(sizeof(hash) <= kDigestBytes);
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

std::string
workspace_keys::SharedDigestOf(std::string_view aKey)
{
  const auto shared = Hash(aKey, nullptr, 0);
  std::array<char, 2 * kDigestBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), shared.data(), shared.size());
  return text.data();
}

workspace_keys::digest
workspace_keys::DigestOf(std::string_view aKey)
{
  return DigestOfShared(SharedDigestOf(aKey));
}

void
workspace_keys::Add(std::string_view aSharedDigest, const workspace& aWorkspace)
{
  const auto [position, added] =
    mWorkspaces.try_emplace(DigestOfShared(aSharedDigest), &aWorkspace);
  if (!added && position->second != &aWorkspace) {
    position->second = nullptr;
  }
}

const workspace*
workspace_keys::Find(std::string_view aKey) const
{
  const auto found = mWorkspaces.find(DigestOf(aKey));
  return found == mWorkspaces.end() ? nullptr : found->second;
}

} // namespace monsooncroft::serving
