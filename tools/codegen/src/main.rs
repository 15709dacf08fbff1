//! Regenerates the committed tonic code of `teaseltrack-wire` from its `.proto` files.
//!
//! The build of the workspace doesn't need this program. Run it from the root of the repository
//! after a change to a `.proto` file.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = "crates/teaseltrack-wire";
    let descriptors =
        protox::compile([format!("{wire}/proto/request_path.proto")], [format!("{wire}/proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(format!("{wire}/src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
