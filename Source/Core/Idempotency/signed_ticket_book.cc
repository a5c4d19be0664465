#include "Idempotency/signed_ticket_book.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace figflow {
namespace {

constexpr char kPrefix[] = "fft1.";
constexpr size_t kNonceBytes = 16;
// Longer input cannot be a ticket; it is not worth decoding.
constexpr size_t kMaxTicketBytes = 1024;

struct Payload {
  std::string entry;
  uint64_t incarnation = 0;
  int64_t expiry_ms = 0;
  std::string nonce;
};

std::string Format(const Payload& payload) {
  return absl::StrCat(payload.incarnation, "/", payload.expiry_ms, "/",
                      payload.nonce, "/", payload.entry);
}

std::optional<Payload> Parse(absl::string_view text) {
  const std::vector<absl::string_view> parts =
      absl::StrSplit(text, absl::MaxSplits('/', 3));
  Payload payload;
  if (parts.size() != 4 || !absl::SimpleAtoi(parts[0], &payload.incarnation) ||
      !absl::SimpleAtoi(parts[1], &payload.expiry_ms)) {
    return std::nullopt;
  }
  payload.nonce = std::string(parts[2]);
  payload.entry = std::string(parts[3]);
  return payload;
}

std::string RandomNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  // Without randomness two tickets could be equal. The process cannot keep its
  // guarantees then.
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    std::abort();
  }
  return absl::WebSafeBase64Escape(absl::string_view(
      reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

}  // namespace

SignedTicketBook::SignedTicketBook(TicketOptions options)
    : options_(std::move(options)) {}

std::string SignedTicketBook::Sign(absl::string_view payload) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), options_.credential.data(),
       static_cast<int>(options_.credential.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
       mac.data(), &size);
  return std::string(reinterpret_cast<const char*>(mac.data()), size);
}

std::string SignedTicketBook::Issue(WallTime now) {
  const std::string payload = Format(
      Payload{options_.entry.value(), options_.incarnation,
              SinceEpoch(now + options_.lifetime).count(), RandomNonce()});
  return absl::StrCat(kPrefix, absl::WebSafeBase64Escape(payload), ".",
                      absl::WebSafeBase64Escape(Sign(payload)));
}

TicketCheck SignedTicketBook::Redeem(absl::string_view ticket, WallTime now) {
  if (!absl::ConsumePrefix(&ticket, kPrefix)) {
    return TicketCheck{TicketVerdict::kNotATicket, EntryId()};
  }
  const std::vector<absl::string_view> parts = absl::StrSplit(ticket, '.');
  std::string text;
  std::string mac;
  if (ticket.size() > kMaxTicketBytes || parts.size() != 2 ||
      !absl::WebSafeBase64Unescape(parts[0], &text) ||
      !absl::WebSafeBase64Unescape(parts[1], &mac)) {
    return TicketCheck{TicketVerdict::kInvalid, EntryId()};
  }
  const std::string expected = Sign(text);
  if (mac.size() != expected.size() ||
      CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0) {
    return TicketCheck{TicketVerdict::kInvalid, EntryId()};
  }
  const std::optional<Payload> payload = Parse(text);
  if (!payload) {
    return TicketCheck{TicketVerdict::kInvalid, EntryId()};
  }
  if (payload->entry != options_.entry.value()) {
    return TicketCheck{TicketVerdict::kOtherEntry, EntryId(payload->entry)};
  }
  if (payload->incarnation != options_.incarnation) {
    return TicketCheck{TicketVerdict::kEarlierIncarnation, options_.entry};
  }

  std::lock_guard<std::mutex> lock(mutex_);
  latest_ms_ = std::max<int64_t>(latest_ms_, SinceEpoch(now).count());
  const int64_t forget_before = latest_ms_ - options_.lifetime.count();
  used_.erase(used_.begin(), used_.lower_bound(UsedTicket(forget_before, "")));
  const UsedTicket used(payload->expiry_ms, payload->nonce);
  if (used_.count(used) != 0) {
    return TicketCheck{TicketVerdict::kAlreadyUsed, options_.entry};
  }
  if (payload->expiry_ms <= latest_ms_) {
    return TicketCheck{TicketVerdict::kInvalid, EntryId()};
  }
  used_.insert(used);
  return TicketCheck{TicketVerdict::kRun, options_.entry};
}

}  // namespace figflow
