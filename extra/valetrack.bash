_valetrack() {
    COMPREPLY=($(compgen -W "--admin --admin-listen --call --call-body-ms --caller-listen --dir --domain --domain-cost-us --drain-ms --gossip-ms --help --json --keys --link-advertise --link-listen --list --list-poll-ms --log-level --operator --policy --seed --server --service --silent-ms --store --store-reads-per-s --store-timeout-ms --store-writes-per-s --version --vm approve authority bundle check completions history keys man node roll settings status timeline write" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _valetrack valetrack
