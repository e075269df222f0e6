set terminal svg size 1000,900 background "white"
set output "load.svg"
set multiplot layout 3,1
set xlabel "second of the run"
set key left top
set ylabel "milliseconds"
set title "First token and load stall"
plot "load.dat" using 1:3 with lines title "first token, median", \
     "load.dat" using 1:4 with lines title "first token, 95th percentile", \
     "load.dat" using 1:5 with lines title "load stall, 95th percentile"
set ylabel "percent"
set yrange [0:100]
set title "Batch fill"
plot "load.dat" using 1:6 with lines title "places in use, all engines"
set ylabel "requests a second"
set yrange [0:*]
set title "Outcomes"
plot "load.dat" using 1:2 with lines title "sent", \
     "load.dat" using 1:7 with lines title "good", \
     "load.dat" using 1:8 with lines title "refused", \
     "load.dat" using 1:9 with lines title "other"
unset multiplot
