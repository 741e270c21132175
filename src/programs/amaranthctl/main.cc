#include <iostream>

#include "src/programs/amaranthctl/commands.h"

int main(int argc, char** argv) {
  amaranthcove::EventLoop loop;
  return amaranthcove::RunAmaranthctl({argv + 1, argv + argc}, loop, std::cout,
                                      std::cerr);
}
