/**
 * @file workspace_keys_base.h
 * Workspaces by API key.
 */
#ifndef MONSOONCROFT_SERVING_WORKSPACE_KEYS_BASE_H
#define MONSOONCROFT_SERVING_WORKSPACE_KEYS_BASE_H

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace monsooncroft::serving {

struct workspace;

/**
 * Holds digests of keys under a random key of the process. A lookup compares
 * digests, so that its duration does not show how much of a guessed key is
 * correct.
 */
class workspace_keys
{
public:
  static constexpr std::size_t kDigestBytes = 16;
  using digest = std::array<unsigned char, kDigestBytes>;

  /** Hash function of containers; the digests are already hashes. */
  struct digest_hash
  {
    std::size_t operator()(const digest& aDigest) const;
  };

  /**
   * Digest of an API key that all instances agree on, in hexadecimal digits.
   * Instances send each other these in place of the keys, which are too long to
   * be found by trial.
   */
  static std::string SharedDigestOf(std::string_view aKey);
  /** Digest of an API key; the same for all objects of the process. */
  static digest DigestOf(std::string_view aKey);

  /** Adds a key by its shared digest. A key of two workspaces is accepted for
   * neither.
   * @param aWorkspace Must outlive this object. */
  void Add(std::string_view aSharedDigest, const workspace& aWorkspace);
  /** @return Null for an unknown key. */
  const workspace* Find(std::string_view aKey) const;

private:
  /** Null for a key of two workspaces. */
  std::unordered_map<digest, const workspace*, digest_hash> mWorkspaces;
};

} // namespace monsooncroft::serving

#endif
