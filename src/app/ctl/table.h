#pragma once

#include <string>
#include <vector>

namespace nutmegplank::app::ctl {

//! Rows of text in aligned columns.
class Table
{
public:
    explicit Table(std::vector<std::string> heads);

    //! Missing cells are empty.
    auto add(std::vector<std::string> cells) -> void;
    auto empty() const -> bool { return m_rows.size() == 1; }
    auto render() const -> std::string;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace nutmegplank::app::ctl
