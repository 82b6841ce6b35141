cd /tmp/wt-end
T=$(cargo test -j 3 -p gullglade-dispatch --test answer_end --no-run 2>&1 | grep -o 'target/debug/deps/answer_end-[0-9a-f]*')
for l in ${@:-1.0 1.15 1.3}; do echo "load $l"; LOAD=$l $T --nocapture 2>&1 | grep -E "before,|panicked"; done
