//! Command line: exit codes, and that errors are printed to standard error.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_citronproxy"));
    command.args(args).output().expect("the binary runs")
}

#[test]
fn exit_codes_are_the_documented_ones() {
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/settings/authority-kingston-1.json"
    );
    let cases: [(&[&str], i32); 7] = [
        (&["--help"], 0),
        (&[], 0),
        (&["check", example], 0),
        (&["check"], 2),
        (&["check", "no-such-file.json"], 2),
        (&["chekc", example], 2),
        (&["check", example, "more"], 2),
    ];
    for (args, code) in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {output:?}");
        assert_eq!(output.stderr.is_empty(), code == 0, "{args:?}");
    }
}
