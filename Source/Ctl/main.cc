#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "Ctl/run.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  const bool terminal = isatty(STDOUT_FILENO) == 1;
  return static_cast<int>(
      figflow::ctl::Run(args, terminal, std::cout, std::cerr));
}
