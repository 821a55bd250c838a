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

} // namespace

std::size_t
workspace_keys::digest_hash::operator()(const digest& aDigest) const
{
  std::size_t hash = 0;
  static_assert(sizeof(hash) <= kDigestBytes);
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

workspace_keys::digest
workspace_keys::DigestOf(std::string_view aKey)
{
  const hash_key& key = ProcessKey();
  digest out{};
  crypto_generichash(out.data(),
                     out.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     key.data(),
                     key.size());
  return out;
}

void
workspace_keys::Add(std::string_view aKey, const workspace& aWorkspace)
{
  const auto [position, added] =
    mWorkspaces.try_emplace(DigestOf(aKey), &aWorkspace);
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
