#include <iostream>

#include "src/programs/amaranthctl/commands.h"

int main(int argc, char** argv) {
  return amaranthcove::RunAmaranthctl({argv + 1, argv + argc}, std::cout,
                                      std::cerr);
}
