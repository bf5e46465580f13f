#include "process/snapshot/rcucell.h"

#include <thread>

#include <gtest/gtest.h>

using nutmegplank::process::snapshot::RcuCell;

TEST(RcuCell, RcuCell_Load_SeesWholeVersionsThatOnlyGoUp)
{
    struct Pair
    {
        int left;
        int right;
    };
    constexpr auto VERSIONS = 300;
    auto cell = RcuCell<Pair>(std::make_shared<Pair>(Pair { 0, 0 }));
    auto torn = std::atomic<int>(0);
    auto readers = std::vector<std::thread>();
    for (auto reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            auto last = 0;
            while (last < VERSIONS) {
                const auto seen = cell.load();
                torn += seen->left != seen->right || seen->left < last ? 1 : 0;
                last = seen->left;
            }
        });
    }
    for (auto version = 1; version <= VERSIONS; ++version)
        cell.store(std::make_shared<Pair>(Pair { version, version }));
    for (auto &reader : readers)
        reader.join();
    EXPECT_EQ(torn, 0);
}
