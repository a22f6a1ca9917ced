// Writes the messages and records of this build as golden files for wire_test.
//
// Usage: wire_golden PREFIX
//
// Run by hand with the build of a landed commit; the prefix is src/tests/golden/wire/COMMIT-.

#include "wire_samples.h"

#include <fstream>

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    for (const auto &[kind, bytes] : bramleypitch::test::writeSamples()) {
        std::ofstream file(argv[1] + kind, std::ios::binary);
        file << bytes;
        if (!file.flush())
            return 1;
    }
    return 0;
}
