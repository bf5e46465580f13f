#include "app/ctl/table.h"

#include <algorithm>

namespace nutmegplank::app::ctl {

namespace {

constexpr auto GAP = std::size_t(2);

//! Characters, for names may hold more than ASCII.
auto widthOf(const std::string &text) -> std::size_t
{
    constexpr auto CONTINUATION_MASK = 0xC0U;
    constexpr auto CONTINUATION = 0x80U;
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & CONTINUATION_MASK) != CONTINUATION;
    }));
}

} // namespace

Table::Table(std::vector<std::string> heads)
{
    m_rows.push_back(std::move(heads));
}

auto Table::add(std::vector<std::string> cells) -> void
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

auto Table::render() const -> std::string
{
    auto widths = std::vector<std::size_t>(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (auto column = std::size_t(0); column < row.size(); ++column)
            widths[column] = std::max(widths[column], widthOf(row[column]));
    }
    auto text = std::string();
    for (const auto &row : m_rows) {
        auto line = std::string();
        for (auto column = std::size_t(0); column < row.size(); ++column)
            line += row[column] + std::string(widths[column] - widthOf(row[column]) + GAP, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace nutmegplank::app::ctl
