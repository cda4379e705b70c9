//! Pages of the book, compared with the programs' commands and options.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use crate::processes_testbed::program;

fn docs_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

fn collect_pages(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_pages(&path, found);
        } else if path.extension().is_some_and(|e| e == "md") {
            found.push(path);
        }
    }
}

/// Returns the commands of zinniadrift's programs in the console blocks of a page, each as its
/// words.
fn console_commands(text: &str) -> Vec<Vec<String>> {
    let blocks = text.split("```console\n").skip(1);
    let blocks = blocks.filter_map(|b| b.split("```").next());
    let lines = blocks
        .flat_map(str::lines)
        .map(|l| l.trim_start_matches("$ "));
    lines
        // A line such as `zinniadrift-ctl: not found` is output, not a command.
        .filter(|l| {
            l.starts_with("zinniadrift-") && !l.split(" ").next().is_some_and(|w| w.ends_with(":"))
        })
        .map(|l| l.split_whitespace().map(str::to_owned).collect())
        .collect()
}

fn help_of(name: &str, subcommand: Option<&str>) -> String {
    let mut command = Command::new(program(name));
    command.args(subcommand).arg("--help");
    let output = command.output().unwrap();
    assert!(
        output.status.success(),
        "{name} {subcommand:?} --help failed"
    );
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against pages that show commands or options that the programs lack.
#[test]
fn commands_on_pages_exist() {
    let mut found = Vec::new();
    collect_pages(&docs_dir(), &mut found);
    let mut checked = 0;
    for page in &found {
        for words in console_commands(&std::fs::read_to_string(page).unwrap()) {
            let subcommand = words.get(1).filter(|w| !w.starts_with('-'));
            let mut help = help_of(&words[0], None);
            if let Some(subcommand) = subcommand {
                assert!(
                    help.contains(subcommand.as_str()),
                    "{}: {words:?}",
                    page.display()
                );
                help.push_str(&help_of(&words[0], Some(subcommand)));
            }
            for option in words.iter().filter(|w| w.starts_with("--")) {
                assert!(
                    help.contains(option.as_str()),
                    "{}: {words:?}: {option}",
                    page.display()
                );
            }
            checked += 1;
        }
    }
    assert!(checked > 10, "only {checked} commands found");
}

/// Guards against pages that the summary does not link and against dead links in the summary.
#[test]
fn summary_lists_every_page() {
    let dir = docs_dir();
    let summary = std::fs::read_to_string(dir.join("SUMMARY.md")).unwrap();
    let links = summary
        .split("](")
        .skip(1)
        .filter_map(|l| l.split(')').next());
    let listed: BTreeSet<PathBuf> = links.map(|l| dir.join(l)).collect();
    for path in &listed {
        assert!(path.exists(), "{} is listed but missing", path.display());
    }
    let mut found = Vec::new();
    collect_pages(&dir, &mut found);
    for path in found.iter().filter(|p| !p.ends_with("SUMMARY.md")) {
        assert!(listed.contains(path), "{} is not listed", path.display());
    }
}
