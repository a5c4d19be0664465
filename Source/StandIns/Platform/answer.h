#ifndef STANDINS_PLATFORM_ANSWER_H_
#define STANDINS_PLATFORM_ANSWER_H_

#include <string>
#include <utility>

#include "Common/json.h"

namespace figflow::standin {

struct Answer {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

inline Answer Refusal(int status, std::string message) {
  return Answer{status, {{"error", std::move(message)}}};
}

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_ANSWER_H_
