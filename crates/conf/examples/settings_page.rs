//! Prints docs/settings.md: `cargo run -p conf --example settings_page > docs/settings.md`.

fn main() {
    print!("{}", conf::keys::reference_page());
}
